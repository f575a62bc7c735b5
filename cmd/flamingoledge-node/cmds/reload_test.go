package cmds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/configurator"
)

// TestSeedsFollowSettings guards against a process that asks seeds that are gone for ever although its
// settings name others.
func TestSeedsFollowSettings(t *testing.T) {
	const old, renewed = "10.0.0.9:1", "10.0.0.8:1"
	tests := map[string]struct {
		sendSignal bool
		// content replaces the settings; empty for those with the renewed seeds.
		content string
		want    string
	}{
		"with a signal":    {sendSignal: true, want: renewed},
		"without a signal": {want: renewed},
		"invalid settings": {sendSignal: true, content: "{", want: old},
		"empty settings":   {sendSignal: true, content: " ", want: old},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := configurator.DefaultNode()
			n.Instance = configurator.Instance{Name: "s", AvailabilityZone: "z", Region: "r"}
			n.Address, n.NodePort, n.Store, n.EndpointAddress, n.Service = "10.0.0.1", 1, "10.0.0.2:1", "10.0.0.1:2", "llm"
			n.Seeds = []string{old}
			file := filepath.Join(t.TempDir(), "settings.jsonc")
			write := func(content []byte) { is.NoErr(os.WriteFile(file, content, 0o600)) }
			encode := func() []byte {
				b, err := json.Marshal(n)
				is.NoErr(err)
				return b
			}
			write(encode())
			loaded, err := load(file, "sidecar")
			is.NoErr(err)
			seeds := configurator.NewSeedList(loaded.Seeds)
			r := &reload{file: file, role: "sidecar", inUse: loaded, seeds: seeds, log: zap.NewNop()}
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.watch(t.Context())
			}()
			// Signals have one receiver only, so that it must not outlive its case.
			t.Cleanup(func() { <-done })
			time.Sleep(100 * time.Millisecond) // until the first content has been read
			n.Seeds = []string{renewed}
			content := encode()
			if tc.content != "" {
				content = []byte(tc.content)
			}
			write(content)
			if tc.sendSignal {
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
			}
			deadline := time.Now().Add(2 * settingsInterval)
			for time.Now().Before(deadline) && !slices.Equal(seeds.Get(), []string{renewed}) {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(seeds.Get(), []string{tc.want})
		})
	}
}
