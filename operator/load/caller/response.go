package caller

import (
	"bufio"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
)

// maxHead and maxContent limit the head of an answer, and the body of one that is no stream, in bytes.
const maxHead, maxContent = 64 << 10, 1 << 20

// response is an answer whose body was not read yet.
type response struct {
	head http1.Head
	body http1.Body
}

// receive reads the head of the final answer to a POST. It fails with fault.OutcomeUnknown.
func receive(r *bufio.Reader) (*response, error) {
	resp := &response{}
	if err := resp.head.ReadFinalResponse(r, maxHead, fasthttp.MethodPost); err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "no answer")
	}
	resp.body.Reset(r, &resp.head)
	return resp, nil
}

// content reads the whole body. It fails with fault.OutcomeUnknown.
func (r *response) content() ([]byte, error) {
	b, err := r.body.ReadAll(nil, maxContent)
	if err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "status %d without its body", r.head.Status)
	}
	return b, nil
}

// notRun reports whether the answer says that the request was not run.
func (r *response) notRun() bool { return string(r.head.Get(httpapi.HeaderNotRun)) == "true" }
