package gatewayserver

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/forwarder"
)

// PathExplain is the URL path of HandleExplain.
const PathExplain = "/explain"

// ExplainProblem is the answer to a question that can't be answered.
type ExplainProblem struct {
	Error string `json:"error"`
}

// HandleExplain answers a forwarder.Question with a forwarder.Explanation, both as JSON. It
// sends nothing to endpoints and changes no state.
func (s *Server) HandleExplain(rc *fasthttp.RequestCtx) {
	rc.SetContentType("application/json")
	var q forwarder.Question
	err := json.Unmarshal(rc.PostBody(), &q)
	status := fasthttp.StatusBadRequest
	var e forwarder.Explanation
	if err == nil {
		e, err = s.forward.Explain(q)
		status = fasthttp.StatusUnprocessableEntity
	} else {
		err = errors.New("the question is not valid JSON: " + err.Error())
	}
	if err != nil {
		rc.SetStatusCode(status)
		_ = json.NewEncoder(rc).Encode(ExplainProblem{Error: err.Error()})
		return
	}
	_ = json.NewEncoder(rc).Encode(e)
}
