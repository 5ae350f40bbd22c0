package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"fulmarhoist.example/caller/resend"
)

// call carries out one Do: it does what the plan decides.
type call struct {
	client  *Client
	ctx     context.Context
	request Request
	kind    resend.Kind

	plan     *resend.Plan
	deadline time.Time
	lastKey  string
	response *Response
	cause    error
}

func newCall(client *Client, ctx context.Context, request Request) *call {
	c := &call{client: client, ctx: ctx, request: request, lastKey: request.Key}
	c.deadline, _ = ctx.Deadline()
	if request.Idempotent {
		c.kind = resend.Idempotent
	}
	sends := client.options.MaxSends
	if request.nested.limited {
		sends = min(sends, 1+request.nested.retries)
	}
	c.plan = resend.New(resend.Terms{
		Kind: c.kind, Deadline: c.deadline, MaxSends: sends, Zone: client.options.Zone, Key: request.Key,
	})
	return c
}

func (c *call) run() (*Response, error) {
	directory, err := c.client.directory.current(c.ctx)
	if err != nil {
		c.cause = err
		c.plan.Stop()
		return c.end()
	}
	for {
		step := c.plan.Next(time.Now(), directory.Instances, c.client.options.Random)
		if step.Refresh {
			directory = c.refreshed(directory)
		}
		switch step.Action {
		case resend.ActionStop:
			return c.end()
		case resend.ActionWait:
			if !c.wait(step.Until) {
				c.plan.Stop()
			}
		case resend.ActionSend:
			c.send(step)
		}
		if c.ctx.Err() != nil {
			c.plan.Stop()
		}
	}
}

// refreshed returns a newer directory if any instance gives one.
func (c *call) refreshed(seen *Directory) *Directory {
	fresh, err := c.client.directory.renewed(c.ctx, seen)
	if err != nil {
		return seen
	}
	return fresh
}

// wait returns false if the call was canceled or its deadline passed.
func (c *call) wait(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// send sends one copy and gives the plan the result.
func (c *call) send(step resend.Step) {
	if step.Key != "" {
		c.lastKey = step.Key
	}
	response, result, err := c.exchange(step)
	if err != nil {
		c.cause = err
	}
	now := time.Now()
	if result.Event == resend.EventNotSent && c.ctx.Err() == nil {
		step.Instance.Avoid(now.Add(avoidFor))
	}
	c.plan.Record(now, result, c.client.options.Random)
	c.response = response
}

// end turns the verdict into what Do returns.
func (c *call) end() (*Response, error) {
	trail := Trail{Key: c.lastKey, Sends: c.plan.Sends(), Cause: c.cause}
	if err := c.ctx.Err(); err != nil && !errors.Is(c.cause, err) {
		trail.Cause = errors.Join(err, c.cause)
	}
	switch c.plan.Verdict() {
	case resend.VerdictAnswered:
		if c.response == nil && isA[*notKeptError](c.cause) {
			return nil, &AnswerNotKeptError{trail}
		}
		if c.response == nil {
			return nil, &AnswerTooLargeError{trail, c.client.options.MaxAnswerBytes}
		}
		c.response.Sends = c.plan.Sends()
		return c.response, nil
	case resend.VerdictNotRun:
		return nil, &NotRunError{trail}
	case resend.VerdictUnreachable:
		return nil, c.unreachable(trail)
	case resend.VerdictTooOld:
		return nil, &TooOldError{trail}
	case resend.VerdictCrashesTargets:
		return nil, &CrashesTargetsError{trail}
	case resend.VerdictInvalid:
		return nil, &InvalidError{trail}
	default:
		return nil, &UnknownError{trail}
	}
}

// unreachable returns the directory's own error if there was no directory.
func (c *call) unreachable(trail Trail) error {
	var directory *DirectoryError
	if errors.As(c.cause, &directory) {
		return directory
	}
	return &UnreachableError{trail}
}

// retriesLeft is the allowance that goes with the present copy.
func (c *call) retriesLeft() string {
	return strconv.Itoa(max(0, c.request.nested.retries-c.plan.Sends()+1))
}
