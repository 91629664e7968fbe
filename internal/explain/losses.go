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

// Cause is the reason why a request earned less than it could have.
type Cause string

// Causes that can be derived from the logs of hosts. The logs don't show whether the answer of
// a model was correct.
const (
	CauseNone         Cause = "answered in time"
	CauseCaller       Cause = "the caller left, or was not let in"
	CauseRefused      Cause = "refused: no endpoint took it"
	CauseEnginesFull  Cause = "refused: engines were full for longer than its caller waits"
	CauseLimited      Cause = "refused: all endpoints were at the limits that they name"
	CausePaused       Cause = "refused: all endpoints wanted a pause from the host"
	CauseLeaving      Cause = "refused: all endpoints of the service were leaving"
	CauseFailed       Cause = "failed at endpoints, or broke off"
	CausePause        Cause = "late: a pause between events"
	CauseSlowStart    Cause = "late: the endpoint began far later than expected"
	CauseLongPrompt   Cause = "late: the prompt takes most of the objective to read"
	CauseLargerModel  Cause = "late: a larger model was asked after a smaller one"
	CauseRetried      Cause = "late: asked again after a failure"
	CauseExpectedWait Cause = "late: waited for others, as expected"
	CauseQueued       Cause = "late: waited for its turn while engines were full"
)

// Thresholds that separate the causes of late answers.
const (
	// slowStartFactor is the ratio of the actual to the expected time to the response head
	// above which a late answer counts as a slow start. On busy days one in seven heads is
	// three times as late as expected.
	slowStartFactor = 3
	// longPromptShare is the fraction of the objective above which reading the prompt takes
	// most of it.
	longPromptShare = 0.5
)

// outcomeFull is the outcome that the gateway logs for a request that is refused because the
// engines are full.
const outcomeFull = "engines can't serve it"

// outcomeLimited is the outcome that the gateway logs for a request that is refused because of
// the limits of endpoints.
const outcomeLimited = "endpoints are at the limits that they name"

// outcomePaused and outcomeLeaving are the outcomes that the gateway logs for requests that are refused
// because of what all endpoints have asked of the host.
const (
	outcomePaused  = "all endpoints of the service want a pause from this host"
	outcomeLeaving = "all endpoints of the service leave"
)

// Loss summarizes the requests with the same cause.
type Loss struct {
	Cause          Cause
	Count          int
	MeanLateMillis float64 // mean time beyond the objective, where requests in time count as 0
	Example        string  // ID of the latest request, or of the first if none was late
	maxLateMillis  float64
}

// TallyLosses counts the requests in logs by cause and returns the most frequent cause first.
func TallyLosses(logs ...io.Reader) ([]Loss, error) {
	byCause := map[Cause]*Loss{}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := ParseLine(scanner.Text()); ok && l.Message == "request" && l.fieldText("route") != "" {
				tally(byCause, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	losses := make([]Loss, 0, len(byCause))
	for _, loss := range byCause {
		loss.MeanLateMillis /= float64(loss.Count)
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
	late := max(l.answerStart()-l.fieldNumber("objective_ms"), 0)
	loss.MeanLateMillis += late
	if late > loss.maxLateMillis {
		loss.maxLateMillis, loss.Example = late, l.Request
	}
}

// answerStart returns the time to the start of the answer in milliseconds: to the first event
// of a stream, or to the end of any other answer.
func (l Line) answerStart() float64 {
	if first := l.fieldNumber("first_ms"); first > 0 {
		return first
	}
	return l.fieldNumber("took_ms")
}

// fieldNumber returns the numeric value of a field, or 0 if the line lacks it.
func (l Line) fieldNumber(name string) float64 {
	n, err := strconv.ParseFloat(l.fieldText(name), 64)
	if err != nil {
		return 0 // lines of older hosts lack some fields
	}
	return n
}

func causeOf(l Line) Cause {
	outcome := l.fieldText("outcome")
	switch {
	case strings.HasPrefix(outcome, "caller left"), outcome == "unknown key", outcome == "no route":
		return CauseCaller
	case outcome == "streamed", strings.HasPrefix(outcome, "answered 2"), strings.HasPrefix(outcome, "answered 4"):
		return lateCause(l)
	case outcome == outcomeFull:
		return CauseEnginesFull
	case outcome == outcomeLimited:
		return CauseLimited
	case outcome == outcomePaused:
		return CausePaused
	case outcome == outcomeLeaving:
		return CauseLeaving
	case l.fieldNumber("sends") == 0:
		return CauseRefused
	default:
		return CauseFailed
	}
}

// lateCause returns the cause of an answered request: why it was late, or CauseNone.
func lateCause(l Line) Cause {
	objective, sends := l.fieldNumber("objective_ms"), l.fieldNumber("sends")
	head, expected := l.fieldNumber("head_ms"), l.fieldNumber("expected_ms")
	switch {
	case objective == 0 || l.answerStart() <= objective:
		if gap := l.fieldNumber("gap_ms"); gap > 0 && l.fieldNumber("pause_ms") > gap {
			return CausePause
		}
		return CauseNone
	case l.fieldNumber("waits") > 0:
		return CauseQueued
	case expected > 0 && head > slowStartFactor*expected:
		return CauseSlowStart
	case l.fieldNumber("work_ms") > longPromptShare*objective:
		return CauseLongPrompt
	case sends > 1 && l.fieldText("larger") == "true":
		return CauseLargerModel
	case sends > 1:
		return CauseRetried
	default:
		return CauseExpectedWait
	}
}

// WriteLosses writes the counts as a table.
func WriteLosses(w io.Writer, losses []Loss) error {
	all := 0
	for _, loss := range losses {
		all += loss.Count
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%8s  %6s  %9s  %-18s %s\n", "requests", "share", "late, ms", "for example", "cause")
	for _, loss := range losses {
		fmt.Fprintf(&b, "%8d  %5.1f%%  %9.0f  %-18s %s\n", loss.Count, 100*float64(loss.Count)/float64(max(all, 1)), loss.MeanLateMillis, loss.Example, loss.Cause)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write losses: %w", err)
	}
	return nil
}
