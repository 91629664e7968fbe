package daemon

import (
	"html/template"
	"net/http"
	"time"

	"quaybarrow/internal/console"
	"quaybarrow/internal/declare"
)

// statusWindow is the period of traffic that the status page covers.
const statusWindow = 5 * time.Minute

// statusSection is a table of the status page.
type statusSection struct {
	Title  string
	Header []string
	Lines  [][]string
}

// statusView is the data of the status page.
type statusView struct {
	Host     string
	Ready    string
	Revision int64
	Age      string
	Sections []statusSection
}

var statusTemplate = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="5"><title>quaybarrow {{.Host}}</title>
<style>body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;width:100%;margin-bottom:1.5rem}th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #ddd;overflow-wrap:anywhere}
th{font-weight:600;background:#f5f5f5}h1{font-size:1.4rem}h2{font-size:1.1rem}</style></head><body>
<h1>quaybarrow on {{.Host}}</h1>
<p>{{if .Ready}}Takes no work: {{.Ready}}.{{else}}Ready.{{end}} Configuration revision {{.Revision}}, last confirmed {{.Age}} ago.</p>
{{range .Sections}}<h2>{{.Title}}</h2>{{if .Lines}}<table><thead><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr></thead>
<tbody>{{range .Lines}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</tbody></table>{{else}}<p>None.</p>{{end}}{{end}}
</body></html>
`))

// statusQueries are the page's tables; none contains names of callers or requests.
var statusQueries = []struct {
	title string
	show  console.Show
}{
	{"Traffic by version, last five minutes", console.Show{Subject: console.SubjectRequests, Since: statusWindow, By: "version"}},
	{"Outcomes, last five minutes", console.Show{Subject: console.SubjectRequests, Since: statusWindow, By: "outcome"}},
	{"Versions", console.Show{Subject: console.SubjectVersions}},
	{"Roll-outs", console.Show{Subject: console.SubjectRollouts}},
	{"Hosts", console.Show{Subject: console.SubjectHosts}},
	{"Endpoints", console.Show{Subject: console.SubjectEndpoints}},
	{"Requests under which endpoints crash", console.Show{Subject: console.SubjectQuarantine}},
}

// statusPage serves a read-only page with this host's view of the system.
func (h *Host) statusPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		view := statusView{Host: h.Settings.Host, Ready: h.notReadyReason(), Revision: h.Config.Number(), Age: "never"}
		if age, ok := h.Config.Age(); ok {
			view.Age = age.Round(time.Millisecond).String()
		}
		for _, q := range statusQueries {
			rows, _, err := h.Queries.Show(r.Context(), declare.Operator{Role: declare.RoleViewer}, q.show)
			section := sectionOf(q.title, rows)
			if err != nil {
				section = statusSection{Title: q.title + " (not available: " + err.Error() + ")"}
			}
			view.Sections = append(view.Sections, section)
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = statusTemplate.Execute(w, view)
	})
}

func sectionOf(title string, rows []console.Row) statusSection {
	section := statusSection{Title: title}
	for i, row := range rows {
		line := make([]string, len(row))
		for j, cell := range row {
			if i == 0 {
				section.Header = append(section.Header, cell.Name)
			}
			line[j] = console.CellText(cell.Value)
		}
		section.Lines = append(section.Lines, line)
	}
	return section
}
