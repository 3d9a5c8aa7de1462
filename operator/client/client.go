// Package client is a client of the administration API of an instance, and of the calls
// that members of the control group serve at their metrics and control listeners.
package client

import (
	"crypto/tls"
	"encoding/json"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
)

// Client calls one instance. It never retries a request. An operator whose confirm got no
// answer repeats it with the same number, and gets the answer to the first one.
type Client struct {
	// Address is host:port, or a base URL with http or https.
	Address string
	Key     string
	// TLS configures https connections; nil means the certificate authorities of the system.
	TLS *tls.Config
}

// Plan returns the changes that confirming a document would make.
func (c *Client) Plan(doc *intent.Document) (*admin.Plan, error) {
	out := &admin.Plan{}
	return out, c.do(fasthttp.MethodPost, admin.PathPlan, admin.PlanRequest{Document: doc}, out)
}

// Confirm makes a document the next revision.
func (c *Client) Confirm(req *admin.ConfirmRequest) (*admin.Confirmation, error) {
	out := &admin.Confirmation{}
	return out, c.do(fasthttp.MethodPost, admin.PathConfirm, req, out)
}

// Status returns the state of the system as the instance knows it.
func (c *Client) Status() (*admin.Status, error) {
	out := &admin.Status{}
	return out, c.do(fasthttp.MethodGet, admin.PathStatus, nil, out)
}

// Drain asks the instance to drain and stop.
func (c *Client) Drain() (*admin.Status, error) {
	out := &admin.Status{}
	return out, c.do(fasthttp.MethodPost, admin.PathDrain, nil, out)
}

// Intent returns the document in force.
func (c *Client) Intent() (*admin.Intent, error) {
	out := &admin.Intent{}
	return out, c.do(fasthttp.MethodGet, admin.PathIntent, nil, out)
}

// Explain returns the events and the outcome of a request that the instance has recorded.
func (c *Client) Explain(id string) (*admin.Explanation, error) {
	out := &admin.Explanation{}
	return out, c.do(fasthttp.MethodGet, admin.PathRequests+id, nil, out)
}

// Unknowns lists at-most-once calls whose outcome is unknown.
func (c *Client) Unknowns() ([]admin.UnknownCall, error) {
	var out []admin.UnknownCall
	err := c.do(fasthttp.MethodGet, admin.PathClaims, nil, &out)
	return out, err
}

// Resolve sets the outcome of a call whose outcome is unknown to the one that the operator states.
func (c *Client) Resolve(r *admin.Resolution) error {
	return c.do(fasthttp.MethodPost, admin.PathResolve, r, &admin.Resolution{})
}

// Members lists the members of the control group.
func (c *Client) Members() ([]admin.Member, error) {
	var out []admin.Member
	err := c.do(fasthttp.MethodGet, admin.PathMembers, nil, &out)
	return out, err
}

// RemoveMember permanently removes a silent member from the control group, and returns the
// list of its members.
func (c *Client) RemoveMember(id string) ([]admin.Member, error) {
	var out []admin.Member
	err := c.do(fasthttp.MethodPost, admin.PathRemove, admin.Removal{ID: id}, &out)
	return out, err
}

// Duties returns the state of the duties as a member knows it. Address is the address of the
// member's metrics.
func (c *Client) Duties() (*duty.View, error) {
	out := &duty.View{}
	return out, c.do(fasthttp.MethodGet, duty.Path, nil, out)
}

// Quarantine returns the quarantined and the suspected requests. Address is the address of a
// member's control listener.
func (c *Client) Quarantine() (*quarantine.View, error) {
	out := &quarantine.View{}
	return out, c.do(fasthttp.MethodGet, quarantine.Path, nil, out)
}

// ReleaseQuarantine releases the request with this fingerprint from quarantine.
func (c *Client) ReleaseQuarantine(fingerprint string) error {
	return c.do(fasthttp.MethodDelete, quarantine.Path+"/"+url.PathEscape(fingerprint), nil, &struct{}{})
}

func (c *Client) do(method, path string, body, into any) error {
	var req fasthttp.Request
	base := c.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req.SetRequestURI(base + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Key)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "encode the request")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	status, content, err := c.exchange(&req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "no answer from %s", base)
	}
	return decodeResponse(status, content, into)
}

func decodeResponse(status int, content []byte, into any) error {
	if status != fasthttp.StatusOK {
		var e httpapi.ErrorBody
		if json.Unmarshal(content, &e) != nil || e.Error.Code == "" {
			return fault.New(fault.Internal, "answer %d: %.200s", status, content)
		}
		detail := e.Error.Message
		if len(e.Error.Problems) > 0 {
			detail += "\n  " + strings.Join(e.Error.Problems, "\n  ")
		}
		return fault.New(fault.Code(e.Error.Code), "%s", detail)
	}
	if err := json.Unmarshal(content, into); err != nil {
		return fault.Wrap(err, fault.Corrupt, "the answer is not what is expected")
	}
	return nil
}
