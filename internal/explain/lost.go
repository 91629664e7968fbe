package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Cause is why a request earned less than it could have.
type Cause string

// Causes, as far as the logs of hosts tell them. Whether a model's answer was right
// they do not tell.
const (
	CauseNone     Cause = "answered in time"
	CauseCaller   Cause = "the caller left, or was not let in"
	CauseRefused  Cause = "refused: no endpoint took it"
	CauseFull     Cause = "refused: engines were full for longer than its caller waits"
	CauseLimited  Cause = "refused: all endpoints were at the limits that they name"
	CauseFailed   Cause = "failed at endpoints, or broke off"
	CausePause    Cause = "late: a pause between events"
	CauseStuck    Cause = "late: the endpoint began far later than expected"
	CauseReading  Cause = "late: the prompt takes most of the objective to read"
	CauseLarger   Cause = "late: a larger model was asked after a smaller one"
	CauseRepeated Cause = "late: asked again after a failure"
	CauseWaiting  Cause = "late: waited for others, as expected"
	CauseTurn     Cause = "late: waited for its turn while engines were full"
)

// Bounds of causes.
const (
	// stuckFactor times the expected time is far later: once in seven heads are three
	// times as late on full days.
	stuckFactor = 3
	// readingPart of the objective is most of it.
	readingPart = 0.5
)

// outcomeFull is what the gateway says of a request that is refused because engines are
// full.
const outcomeFull = "engines can't serve it"

// outcomeLimited is what it says of one that is refused because of endpoints' limits.
const outcomeLimited = "endpoints are at the limits that they name"

// Loss counts the requests with a cause.
type Loss struct {
	Cause   Cause
	Count   int
	Late    float64 // mean milliseconds beyond the objective, of late ones
	Example string  // id of the request that was latest, or of the first one
	latest  float64
}

// TallyLosses tallies the requests of logs by cause, the most frequent first.
func TallyLosses(logs ...io.Reader) ([]Loss, error) {
	byCause := map[Cause]*Loss{}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, lineMost)
		for scanner.Scan() {
			if l, ok := ParseLine(scanner.Text()); ok && l.Message == "request" && l.field("route") != "" {
				tally(byCause, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	losses := make([]Loss, 0, len(byCause))
	for _, loss := range byCause {
		loss.Late /= float64(loss.Count)
		losses = append(losses, *loss)
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return losses, nil
}

func tally(byCause map[Cause]*Loss, l Line) {
	cause := causeOf(l)
	loss, ok := byCause[cause]
	if !ok {
		loss = &Loss{Cause: cause, Example: l.Request}
		byCause[cause] = loss
	}
	loss.Count++
	late := max(l.began()-l.number("objective_ms"), 0)
	loss.Late += late
	if late > loss.latest {
		loss.latest, loss.Example = late, l.Request
	}
}

// began is when the answer began, in milliseconds: a stream's first event, or the
// whole of another answer.
func (l Line) began() float64 {
	if first := l.number("first_ms"); first > 0 {
		return first
	}
	return l.number("took_ms")
}

// number returns a field's number; 0 if it has none.
func (l Line) number(name string) float64 {
	n, err := strconv.ParseFloat(l.field(name), 64)
	if err != nil {
		return 0 // a line of an older host lacks it
	}
	return n
}

func causeOf(l Line) Cause {
	outcome := l.field("outcome")
	switch {
	case strings.HasPrefix(outcome, "caller left"), outcome == "unknown key", outcome == "no route":
		return CauseCaller
	case outcome == "streamed", strings.HasPrefix(outcome, "answered 2"), strings.HasPrefix(outcome, "answered 4"):
		return lateCause(l)
	case outcome == outcomeFull:
		return CauseFull
	case outcome == outcomeLimited:
		return CauseLimited
	case l.number("sends") == 0:
		return CauseRefused
	default:
		return CauseFailed
	}
}

// lateCause is why a request that was answered is late, if it is.
func lateCause(l Line) Cause {
	objective, sends := l.number("objective_ms"), l.number("sends")
	head, expected := l.number("head_ms"), l.number("expected_ms")
	switch {
	case objective == 0 || l.began() <= objective:
		if gap := l.number("gap_ms"); gap > 0 && l.number("pause_ms") > gap {
			return CausePause
		}
		return CauseNone
	case l.number("waits") > 0:
		return CauseTurn
	case expected > 0 && head > stuckFactor*expected:
		return CauseStuck
	case l.number("work_ms") > readingPart*objective:
		return CauseReading
	case sends > 1 && l.field("larger") == "true":
		return CauseLarger
	case sends > 1:
		return CauseRepeated
	default:
		return CauseWaiting
	}
}

// WriteLosses writes a tally for a reader.
func WriteLosses(w io.Writer, losses []Loss) error {
	all := 0
	for _, loss := range losses {
		all += loss.Count
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%8s  %6s  %9s  %-18s %s\n", "requests", "share", "late, ms", "for example", "cause")
	for _, loss := range losses {
		fmt.Fprintf(&b, "%8d  %5.1f%%  %9.0f  %-18s %s\n", loss.Count, 100*float64(loss.Count)/float64(max(all, 1)), loss.Late, loss.Example, loss.Cause)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write tally: %w", err)
	}
	return nil
}
