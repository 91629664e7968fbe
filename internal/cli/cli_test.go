package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/cli"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
)

// tool runs the operators' tool against a host.
type tool struct{ server string }

func (t tool) run(args ...string) (code int, out, problems string) {
	var stdout, stderr bytes.Buffer
	env := cli.Environment{
		Stdin: strings.NewReader("a-key\n"), Stdout: &stdout, Stderr: &stderr,
		Getenv: func(name string) string {
			return map[string]string{"QUAYBARROW_SERVER": t.server, "QUAYBARROW_KEY": cluster.OperatorKey}[name]
		},
	}
	code = cli.Run(context.Background(), args, env)
	return code, stdout.String(), stderr.String()
}

// usage are calls with a mistake, and what the tool has to say.
var usage = map[string]struct {
	args []string
	code int
	want string
}{
	"no directory":             {[]string{"apply"}, 2, "-f must name a directory"},
	"a directory of nobody":    {[]string{"apply", "-f", "nowhere"}, 1, "no .yaml file in nowhere"},
	"a bad format":             {[]string{"show", "hosts", "--output", "xml"}, 2, "text or json"},
	"no command":               {[]string{"do"}, 2, "name a command"},
	"a mistyped command":       {[]string{"do", "withdrw a@1"}, 1, "column 1"},
	"an experiment nobody has": {[]string{"experiment", "alchemy"}, 2, "alchemy"},
	"a load without a file":    {[]string{"load"}, 2, "-f must name a file"},
	"an unknown shell":         {[]string{"completion", "tcsh"}, 2, "bash or zsh"},
}

var _ = Describe("the tool", func() {
	for name, u := range usage {
		It("says what is wrong: "+name, func() {
			code, _, problems := tool{server: "http://127.0.0.1:1"}.run(u.args...)
			Expect(code).To(Equal(u.code), problems)
			Expect(problems).To(ContainSubstring(u.want))
		})
	}

	It("hashes a key as declarations hold it", func() {
		code, out, _ := tool{}.run("hash-key")
		Expect(code).To(BeZero())
		Expect(strings.TrimSpace(out)).To(Equal(config.HashKey("a-key")))
	})

	It("applies, diffs, queries and withdraws over a real connection", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		ref := declare.Ref{Model: "m", Version: "1"}
		d := cluster.Declared(declare.Declarations{Models: []declare.Model{{
			Name: "m", Versions: []declare.Version{{Name: "1", State: declare.StateServing}},
		}}})
		c, err := cluster.New(ctx, cluster.Options{Hosts: 2, Engines: 1, Profiles: map[declare.Ref]engine.Profile{ref: {Quality: 1}}, Declarations: d})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		t := tool{server: "http://" + c.Hosts[0].Operators()}

		dir := GinkgoT().TempDir()
		text := "models: [{name: m, versions: [{name: \"1\", state: serving}, {name: \"2\", state: staged}]}]\n" +
			"operators: [{name: demo, role: editor, hash: \"" + config.HashKey(cluster.OperatorKey) + "\"}]\n"
		Expect(os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o600)).To(Succeed())
		code, out, problems := t.run("diff", "-f", dir)
		Expect(code).To(BeZero(), problems)
		Expect(out).To(ContainSubstring("+ models.m.versions.2.state: staged"))
		code, out, problems = t.run("apply", "-f", dir)
		Expect(code).To(BeZero(), problems)
		Expect(out).To(ContainSubstring("revision 2 accepted; in force on 2 hosts"))
		code, out, problems = t.run("show", "versions", "where", "state", "=", "staged", "--output", "json")
		Expect(code).To(BeZero(), problems)
		Expect(out).To(HavePrefix(`[{"version":"m@2","state":"staged"`))
		code, _, problems = t.run("do", "withdraw m@1")
		Expect(code).To(BeZero(), problems)
		code, _, problems = t.run("do", "-base", "2", "retire m@1")
		Expect(code).To(Equal(1))
		Expect(problems).To(ContainSubstring("conflict: decided on revision 2, but demo accepted revision 3"))
		code, out, _ = t.run("apply", "-f", dir)
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("m@1 stays withdrawn"))
	})
})
