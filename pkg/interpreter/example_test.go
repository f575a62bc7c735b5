package interpreter_test

import (
	"encoding/json"
	"fmt"

	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// Records are decoded into a typed configuration, which resolves the target of a
// workspace's calls.
func Example() {
	var log []acceptor.LogRecord
	for i, e := range []acceptor.Envelope{envelope(1, "service:orders", plain), envelope(1, "workspace:w", market)} {
		data, err := json.Marshal(e)
		if err != nil {
			return
		}
		log = append(log, acceptor.LogRecord{Offset: uint64(i + 1), Data: data})
	}
	s, _ := acceptor.State{}.WithRecords(log)
	cfg := interpreter.Interpret(s, interpreter.SchemaLatest)
	target, err := cfg.Resolve("w", "orders")
	fmt.Println(target.Service.EndpointConcurrency, target.RecordOffset, err)
	_, err = cfg.Resolve("nobody", "orders")
	fmt.Println(err)
	// Output:
	// 8 2 <nil>
	// no record in force for workspace:nobody
}
