package pipeline

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/choose"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/session"
	"quaybarrow/internal/store"
)

// pinned is a request with its session, if it has one.
type pinned struct {
	ask
	pin   session.Pin // zero version: no session, or one about to open
	name  string      // the caller's name of a session about to open
	opens bool        // a session is to be opened
}

// pin finds the session that a request belongs to.
func (p *Pipeline) pin(ctx context.Context, a ask) (pinned, error) {
	switch {
	case a.in.SessionToken != "":
		pin, err := p.options.Keyring().Verify(a.in.SessionToken)
		if err != nil || pin.Workspace != a.workspace.Name {
			return pinned{}, problem.New(http.StatusForbidden, problem.CodeSessionInvalid, problem.NotRun,
				"the session token is not valid here").WithCause(err)
		}
		return pinned{ask: a, pin: pin}, nil
	case a.in.SessionName != "":
		pin, err := p.options.Names.Find(ctx, a.workspace.Name, a.in.SessionName)
		if err == nil {
			return pinned{ask: a, pin: pin}, nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return pinned{}, storeAway(err, "the session's version can't be looked up")
		}
		return pinned{ask: a, name: a.in.SessionName, opens: true}, nil
	default:
		return pinned{ask: a, opens: a.in.NewSession}, nil
	}
}

// storeAway is the problem of a request that needs the table service.
func storeAway(err error, reason string) error {
	return problem.New(http.StatusServiceUnavailable, problem.CodeStore, problem.NotRun,
		reason).WithCause(err).WithRetryAfter(2 * time.Second)
}

// chosen is a request with the version, or the two of a cascade, that answer it.
type chosen struct {
	pinned
	first  choose.Decision
	second choose.Decision // of a cascade
	staged bool            // a cascade: first is checked before second is asked
	token  string          // of a session that this request opens
}

// choose picks the version, or takes the session's.
func (p *Pipeline) choose(ctx context.Context, in pinned) (chosen, error) {
	if in.pin.Version != (declare.Ref{}) {
		return p.continueSession(in)
	}
	if ref := declare.ParseRef(in.chat.Model); ref.Version != "" {
		return p.chooseNamed(ctx, in, ref)
	}
	input, err := p.input(in)
	if err != nil {
		return chosen{}, err
	}
	if in.class != nil && in.class.Cascade && !in.opens {
		first, second, err := choose.Cascade(input)
		if err != nil {
			return chosen{}, noVersion(in)
		}
		staged := first.Candidate.Ref != second.Candidate.Ref
		return chosen{pinned: in, first: first, second: second, staged: staged}, nil
	}
	decision, err := choose.Pick(input)
	if err != nil {
		return chosen{}, noVersion(in)
	}
	return p.open(ctx, in, decision)
}

// input gathers what a choice depends on.
func (p *Pipeline) input(in pinned) (choose.Input, error) {
	age, known := p.options.Config.Age()
	input := choose.Input{
		Workspace: in.workspace.Name,
		Estimates: p.options.Estimates(),
		Ready:     p.options.Ready,
		Credit:    p.options.Credits.Available,
		Stale:     !known || age > p.options.Stale,
		Proven:    p.options.Proven,
		Now:       time.Now(),
		Random:    rand.Float64(),
	}
	if in.class == nil {
		input.Candidates = in.snapshot.Candidates(in.workspace.Name, in.chat.Model)
		if len(input.Candidates) == 0 {
			return choose.Input{}, unknownModel(in.chat.Model)
		}
		return input, nil
	}
	input.Class, input.Target = in.class.Name, in.class.Target
	for _, m := range in.class.Models {
		input.Candidates = append(input.Candidates, in.snapshot.Candidates(in.workspace.Name, m)...)
	}
	return input, nil
}

func unknownModel(name string) error {
	return problem.New(http.StatusNotFound, problem.CodeModelNotFound, problem.NotRun,
		fmt.Sprintf("model %q does not exist or is not open to this workspace", name))
}

func noVersion(in pinned) error {
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
		fmt.Sprintf("no version for %q is in service", in.chat.Model)).WithRetryAfter(time.Second)
}

// chooseNamed takes the version that the caller named.
func (p *Pipeline) chooseNamed(ctx context.Context, in pinned, ref declare.Ref) (chosen, error) {
	c, ok := in.snapshot.Candidate(in.workspace.Name, ref)
	if !ok {
		return chosen{}, unknownModel(ref.String())
	}
	input, err := p.input(pinned{ask: in.withModel(ref.Model)})
	if err != nil {
		return chosen{}, err
	}
	if !input.Usable(c) {
		return chosen{}, problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
			fmt.Sprintf("%s takes no new work (%s)", ref, c.Version.State)).WithRetryAfter(time.Second)
	}
	canary := c.Version.State == declare.StateCanary
	return p.open(ctx, in, choose.Decision{Candidate: c, Reason: choose.ReasonNamed, Canary: canary})
}

// withModel returns the ask for another model.
func (a ask) withModel(model string) ask {
	a.chat.Model = model
	a.class = nil
	return a
}

// open opens the session that the request asks for, on the version decided.
func (p *Pipeline) open(ctx context.Context, in pinned, decision choose.Decision) (chosen, error) {
	if !in.opens {
		return chosen{pinned: in, first: decision}, nil
	}
	pin := session.Pin{
		Workspace: in.workspace.Name, ID: uuid.NewString(), Version: decision.Candidate.Ref,
		Class: in.chat.Model, Opened: time.Now().UTC(),
	}
	if in.name != "" {
		kept, err := p.options.Names.Claim(ctx, in.name, pin)
		if err != nil {
			return chosen{}, storeAway(err, "the session's version can't be kept")
		}
		in.pin = kept
		if kept.ID != pin.ID {
			return p.continueSession(in)
		}
		return chosen{pinned: in, first: decision}, nil
	}
	token, err := p.options.Keyring().Sign(pin)
	if err != nil {
		return chosen{}, problem.New(http.StatusInternalServerError, problem.CodeInternal, problem.NotRun,
			"the session could not be opened").WithCause(err)
	}
	in.pin = pin
	return chosen{pinned: in, first: decision, token: token}, nil
}

// reasonSession says that a session's version was taken.
const reasonSession choose.Reason = "pinned by the session"

// continueSession takes the session's version, or says that the session ended.
func (p *Pipeline) continueSession(in pinned) (chosen, error) {
	c, ok := in.snapshot.Candidate(in.workspace.Name, in.pin.Version)
	if !ok || !mayContinue(c.Version.State) {
		return chosen{}, sessionEnded(in.pin)
	}
	decision := choose.Decision{Candidate: c, Reason: reasonSession, Canary: c.Version.State == declare.StateCanary}
	return chosen{pinned: in, first: decision, token: in.in.SessionToken}, nil
}

func sessionEnded(pin session.Pin) error {
	return problem.New(http.StatusGone, problem.CodeSessionEnded, problem.NotRun,
		fmt.Sprintf("the session ended: its version %s was withdrawn; open a new session", pin.Version))
}

// mayContinue reports whether sessions on a version in a state go on.
func mayContinue(s declare.State) bool {
	return s == declare.StateCanary || s == declare.StateServing || s == declare.StateRetired
}

// allowed says, right before an attempt, whether a version may still be used. A
// version that was not withdrawn by the newest configuration may.
func (p *Pipeline) allowed(workspace string, c config.Candidate, hasSession bool) error {
	now, ok := p.options.Config.Current().Candidate(workspace, c.Ref)
	if ok && mayContinue(now.Version.State) {
		return nil
	}
	if hasSession {
		return sessionEnded(session.Pin{Version: c.Ref})
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
		fmt.Sprintf("%s was withdrawn", c.Ref)).WithRetryAfter(time.Second)
}
