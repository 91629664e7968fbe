package declare_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/declare"
)

// validHash is a well-formed key hash.
const validHash = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// invalidFiles are files with mistakes, and the texts that the error has to contain.
var invalidFiles = map[string]struct {
	text string
	want []string
}{
	"an unknown field": {
		"models:\n  - name: a\n    verions: []\n",
		[]string{"a.yaml", "verions"},
	},
	"a state that does not exist": {
		"models:\n  - name: a\n    versions:\n      - {name: \"1\", state: sevring}\n",
		[]string{"a.yaml:4", "$.models[0].versions[0].state", "serving"},
	},
	"a model that is not declared": {
		"workspaces:\n  - name: w\n    allow: [ghost]\n    concurrency: 1\n",
		[]string{"a.yaml:3", "$.workspaces[0].allow[0]", "ghost"},
	},
	"a key that is not a hash": {
		"workspaces:\n  - name: w\n    concurrency: 1\n    keys:\n      - {name: k, hash: secret}\n",
		[]string{"a.yaml:5", "$.workspaces[0].keys[0].hash", "sha256:"},
	},
	"no concurrency": {
		"workspaces:\n  - name: w\n",
		[]string{"a.yaml:2", "$.workspaces[0].concurrency", "1 or more"},
	},
	"a target above one": {
		"models: [{name: m, versions: [{name: \"1\", state: serving}]}]\nworkspaces:\n  - name: w\n    concurrency: 1\n    classes: [{name: c, models: [m], target: 90}]\n",
		[]string{"a.yaml:5", "target", "from 0 to 1"},
	},
	"a class named like a model": {
		"models: [{name: m, versions: [{name: \"1\", state: serving}]}]\nworkspaces:\n  - name: w\n    concurrency: 1\n    classes: [{name: m, models: [m], target: 0.9}]\n",
		[]string{"classes[0].name", "model's name"},
	},
	"a plan for an undeclared version": {
		"plans: [{name: p, version: m@1, window: 0, ratings: 1, floor: 2}]\n",
		[]string{"plans[0].version", "plans[0].window", "plans[0].floor"},
	},
	"a role that does not exist": {
		"operators: [{name: o, hash: \"" + validHash + "\", role: root}]\n",
		[]string{"operators[0].role", "viewer or editor"},
	},
	"a name declared twice": {
		"models: [{name: m, versions: [{name: \"1\", state: serving}]}, {name: m, versions: [{name: \"1\", state: serving}]}]\n",
		[]string{"models[1].name", "twice"},
	},
}

var _ = Describe("invalid declarations", func() {
	for name, b := range invalidFiles {
		It("are rejected with file, line and field: "+name, func() {
			dir := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(b.text), 0o600)).To(Succeed())
			_, err := declare.ReadDir(dir)
			Expect(err).To(HaveOccurred())
			for _, want := range b.want {
				Expect(err.Error()).To(ContainSubstring(want))
			}
		})
	}

	It("are located in the file that contains them", func() {
		dir := GinkgoT().TempDir()
		good := "models: [{name: a, versions: [{name: \"1\", state: serving}]}]\n"
		wrong := "# a comment\nmodels:\n  - name: b\n    versions: [{name: \"1\", state: nope}]\n"
		Expect(os.WriteFile(filepath.Join(dir, "1.yaml"), []byte(good), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "2.yaml"), []byte(wrong), 0o600)).To(Succeed())
		_, err := declare.ReadDir(dir)
		Expect(err).To(MatchError(ContainSubstring("2.yaml:4: $.models[0].versions[0].state")))
	})
})

func declareVersions(states ...declare.State) declare.Declarations {
	d := declare.Declarations{Models: []declare.Model{{Name: "m"}}}
	for i, s := range states {
		d.Models[0].Versions = append(d.Models[0].Versions, declare.Version{Name: string(rune('a' + i)), State: s})
	}
	return d
}

var _ = Describe("a change of declarations", func() {
	states := []declare.State{
		declare.StateStaged, declare.StateCanary, declare.StateServing, declare.StateRetired, declare.StateWithdrawn,
	}

	It("never returns a version to an earlier state and never drops a withdrawn version", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			draw := rapid.SliceOfN(rapid.SampledFrom(states), 1, 4)
			before, after := declareVersions(draw.Draw(t, "before")...), declareVersions(draw.Draw(t, "after")...)
			next, _ := declare.CarryOverStates(before, after)
			for _, v := range before.Models[0].Versions {
				ref := declare.Ref{Model: "m", Version: v.Name}
				now, ok := next.Version(ref)
				if ok && now.State.Before(v.State) {
					t.Fatalf("%s went from %s to %s", ref, v.State, now.State)
				}
				if !ok && v.State == declare.StateWithdrawn {
					t.Fatalf("withdrawn version %s was dropped", ref)
				}
			}
		})
	})

	It("leaves the original declarations unchanged", func() {
		before := declareVersions(declare.StateServing)
		after := before.WithState(declare.Ref{Model: "m", Version: "a"}, declare.StateRetired)
		Expect(before.Models[0].Versions[0].State).To(Equal(declare.StateServing))
		Expect(after.Models[0].Versions[0].State).To(Equal(declare.StateRetired))
	})

	It("is reported by path", func() {
		differences, err := declare.Diff(declareVersions(declare.StateServing), declareVersions(declare.StateRetired, declare.StateStaged))
		Expect(err).NotTo(HaveOccurred())
		Expect(differences[0].String()).To(Equal("~ models.m.versions.a.state: serving -> retired"))
	})
})
