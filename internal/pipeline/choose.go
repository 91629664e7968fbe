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

// sessionRequest is a request with its session, if any.
type sessionRequest struct {
	parsedRequest
	pin          session.Pin // its Version is zero if there is no session or it is not open yet
	sessionName  string      // name that the caller gave to the session to be opened
	opensSession bool        // the request opens a session
}

// findSession finds the session of a request by its token or its name.
func (p *Pipeline) findSession(ctx context.Context, a parsedRequest) (sessionRequest, error) {
	switch {
	case a.incoming.SessionToken != "":
		pin, err := p.options.Keyring().Verify(a.incoming.SessionToken)
		if err != nil || pin.Workspace != a.workspace.Name {
			return sessionRequest{}, problem.New(http.StatusForbidden, problem.CodeSessionInvalid, problem.NotRun,
				"the session token is not valid here").WithCause(err)
		}
		return sessionRequest{parsedRequest: a, pin: pin}, nil
	case a.incoming.SessionName != "":
		pin, err := p.options.Names.Find(ctx, a.workspace.Name, a.incoming.SessionName)
		if err == nil {
			return sessionRequest{parsedRequest: a, pin: pin}, nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return sessionRequest{}, storeUnavailable(err, "the session's version can't be looked up")
		}
		return sessionRequest{parsedRequest: a, sessionName: a.incoming.SessionName, opensSession: true}, nil
	default:
		return sessionRequest{parsedRequest: a, opensSession: a.incoming.NewSession}, nil
	}
}

// storeUnavailable returns the problem for a request that failed because the table service did.
func storeUnavailable(err error, reason string) error {
	return problem.New(http.StatusServiceUnavailable, problem.CodeStore, problem.NotRun,
		reason).WithCause(err).WithRetryAfter(2 * time.Second)
}

// routedRequest is a request with the version, or the two versions of a cascade, that may answer it.
type routedRequest struct {
	sessionRequest
	first        choose.Decision
	second       choose.Decision // the fallback of a cascade
	cascade      bool            // second is used only if the answer of first fails its check
	sessionToken string          // token to return to the caller
}

// choose selects the version that answers the request; a session keeps its version.
func (p *Pipeline) choose(ctx context.Context, in sessionRequest) (routedRequest, error) {
	if in.pin.Version != (declare.Ref{}) {
		return p.continueSession(in)
	}
	if ref := declare.ParseRef(in.chat.Model); ref.Version != "" {
		return p.chooseNamed(ctx, in, ref)
	}
	input, err := p.choiceInput(in)
	if err != nil {
		return routedRequest{}, err
	}
	if in.class != nil && in.class.Cascade && !in.opensSession {
		first, second, err := choose.Cascade(input)
		if err != nil {
			return routedRequest{}, noVersionProblem(in)
		}
		staged := first.Candidate.Ref != second.Candidate.Ref
		return routedRequest{sessionRequest: in, first: first, second: second, cascade: staged}, nil
	}
	decision, err := choose.Pick(input)
	if err != nil {
		return routedRequest{}, noVersionProblem(in)
	}
	return p.openSession(ctx, in, decision)
}

// choiceInput collects the input for selecting a version.
func (p *Pipeline) choiceInput(in sessionRequest) (choose.Input, error) {
	age, known := p.options.Config.Age()
	input := choose.Input{
		Workspace: in.workspace.Name,
		Estimates: p.options.Estimates(),
		Ready:     p.options.Ready,
		Credit:    p.options.Credits.Available,
		Stale:     !known || age > p.options.StaleAfter,
		Proven:    p.options.Proven,
		Now:       time.Now(),
		Random:    rand.Float64(),
	}
	if in.class == nil {
		input.Candidates = in.snapshot.Candidates(in.workspace.Name, in.chat.Model)
		if len(input.Candidates) == 0 {
			return choose.Input{}, unknownModelProblem(in.chat.Model)
		}
		return input, nil
	}
	input.Class, input.Target = in.class.Name, in.class.Target
	for _, m := range in.class.Models {
		input.Candidates = append(input.Candidates, in.snapshot.Candidates(in.workspace.Name, m)...)
	}
	return input, nil
}

func unknownModelProblem(name string) error {
	return problem.New(http.StatusNotFound, problem.CodeModelNotFound, problem.NotRun,
		fmt.Sprintf("model %q does not exist or is not open to this workspace", name))
}

func noVersionProblem(in sessionRequest) error {
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
		fmt.Sprintf("no version for %q is in service", in.chat.Model)).WithRetryAfter(time.Second)
}

// chooseNamed selects the version that the caller named.
func (p *Pipeline) chooseNamed(ctx context.Context, in sessionRequest, ref declare.Ref) (routedRequest, error) {
	c, ok := in.snapshot.Candidate(in.workspace.Name, ref)
	if !ok {
		return routedRequest{}, unknownModelProblem(ref.String())
	}
	input, err := p.choiceInput(sessionRequest{parsedRequest: in.withModel(ref.Model)})
	if err != nil {
		return routedRequest{}, err
	}
	if !input.Usable(c) {
		return routedRequest{}, problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
			fmt.Sprintf("%s takes no new work (%s)", ref, c.Version.State)).WithRetryAfter(time.Second)
	}
	canary := c.Version.State == declare.StateCanary
	return p.openSession(ctx, in, choose.Decision{Candidate: c, Reason: choose.ReasonNamed, Canary: canary})
}

// withModel returns the request for another model.
func (a parsedRequest) withModel(model string) parsedRequest {
	a.chat.Model = model
	a.class = nil
	return a
}

// openSession opens a session on the selected version if the request asks for one. If another request
// has opened a session of the same name meanwhile, it continues that session.
func (p *Pipeline) openSession(ctx context.Context, in sessionRequest, decision choose.Decision) (routedRequest, error) {
	if !in.opensSession {
		return routedRequest{sessionRequest: in, first: decision}, nil
	}
	pin := session.Pin{
		Workspace: in.workspace.Name, ID: uuid.NewString(), Version: decision.Candidate.Ref,
		Class: in.chat.Model, Opened: time.Now().UTC(),
	}
	if in.sessionName != "" {
		stored, err := p.options.Names.Claim(ctx, in.sessionName, pin)
		if err != nil {
			return routedRequest{}, storeUnavailable(err, "the session's version can't be kept")
		}
		in.pin = stored
		if stored.ID != pin.ID {
			return p.continueSession(in)
		}
		return routedRequest{sessionRequest: in, first: decision}, nil
	}
	token, err := p.options.Keyring().Sign(pin)
	if err != nil {
		return routedRequest{}, problem.New(http.StatusInternalServerError, problem.CodeInternal, problem.NotRun,
			"the session could not be opened").WithCause(err)
	}
	in.pin = pin
	return routedRequest{sessionRequest: in, first: decision, sessionToken: token}, nil
}

// reasonSession means that the version is the one of the session.
const reasonSession choose.Reason = "pinned by the session"

// continueSession selects the session's version, or returns a problem if the session has ended.
func (p *Pipeline) continueSession(in sessionRequest) (routedRequest, error) {
	c, ok := in.snapshot.Candidate(in.workspace.Name, in.pin.Version)
	if !ok || !mayContinue(c.Version.State) {
		return routedRequest{}, sessionEndedProblem(in.pin)
	}
	decision := choose.Decision{Candidate: c, Reason: reasonSession, Canary: c.Version.State == declare.StateCanary}
	return routedRequest{sessionRequest: in, first: decision, sessionToken: in.incoming.SessionToken}, nil
}

func sessionEndedProblem(pin session.Pin) error {
	return problem.New(http.StatusGone, problem.CodeSessionEnded, problem.NotRun,
		fmt.Sprintf("the session ended: its version %s was withdrawn; open a new session", pin.Version))
}

// mayContinue reports whether sessions on a version in the given state may continue.
func mayContinue(s declare.State) bool {
	return s == declare.StateCanary || s == declare.StateServing || s == declare.StateRetired
}

// checkAllowed reports, immediately before an attempt, whether a version may still be used. It may
// unless the newest configuration withdrew it.
func (p *Pipeline) checkAllowed(workspace string, c config.Candidate, hasSession bool) error {
	current, ok := p.options.Config.Current().Candidate(workspace, c.Ref)
	if ok && mayContinue(current.Version.State) {
		return nil
	}
	if hasSession {
		return sessionEndedProblem(session.Pin{Version: c.Ref})
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoVersion, problem.NotRun,
		fmt.Sprintf("%s was withdrawn", c.Ref)).WithRetryAfter(time.Second)
}
