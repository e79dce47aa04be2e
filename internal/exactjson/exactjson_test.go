package exactjson

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"
)

type inner struct {
	Brood uint64
}

type outer struct {
	Cells []inner `json:"Cells"`
	Stage string
	Inner inner
}

// Guards against unknown fields that replace known ones, at any depth and after or before them.
func TestFieldsMatchExactNames(t *testing.T) {
	want := outer{Cells: []inner{{Brood: 2}}, Stage: "done", Inner: inner{3}}
	for _, s := range []string{
		`{"Cells":[{"Brood":2}],"Stage":"done","Inner":{"Brood":3},"cells":[],"STAGE":"x","inner":{"Brood":9}}`,
		`{"cells":{},"stage":7,"INNER":null,"Cells":[{"brood":"x","Brood":2,"BROOD":9}],"Stage":"done","Inner":{"Brood":3}}`,
		` {"Cells":[{"Brood":2}],"Stage":"done","Inner":{"Brood":3,"brooD":-1},"cElls":[{"Brood":4}]} `,
	} {
		for name, decode := range map[string]func(string, any) error{
			"Unmarshal": func(s string, v any) error { return Unmarshal([]byte(s), v) },
			"Decode":    func(s string, v any) error { return Decode(strings.NewReader(s), v) },
		} {
			var got outer
			if err := decode(s, &got); err != nil {
				t.Errorf("%s(%s): %v", name, s, err)
			} else if !reflect.DeepEqual(got, want) {
				t.Errorf("%s(%s) = %+v, want %+v", name, s, got, want)
			}
		}
	}
}

func TestUnmarshalRefusesTrailingData(t *testing.T) {
	for _, s := range []string{`{}{}`, `{}x`, `{} 1`, `1 2`, ``, ` `} {
		var v any
		if err := Unmarshal([]byte(s), &v); err == nil {
			t.Errorf("%q was decoded as %v", s, v)
		}
	}
}

// Guards against a reader that waits for more than the value, as for a child process whose output stays
// open: a scale run's processes counted as not ready after 30 s.
func TestDecodeDoesNotWaitForTheEndOfTheStream(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	go func() { _, _ = io.WriteString(w, `{"Stage":"ready"}`+"\n") }() // and w stays open
	decoded := make(chan error, 1)
	var got outer
	go func() { decoded <- Decode(r, &got) }()
	select {
	case err := <-decoded:
		if err != nil || got.Stage != "ready" {
			t.Fatalf("%+v, %v", got, err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the value was not returned")
	}
}

// Guards against a path that decodes JSON without regard to case while the others don't.
func TestAllSourcesDecodeWithThisPackage(t *testing.T) {
	otherDecoder := regexp.MustCompile(`\bjson\.(Unmarshal|NewDecoder|Parse)\(`)
	for _, root := range []string{"../../cmd", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				filepath.Base(filepath.Dir(path)) == "exactjson" {
				return err
			}
			source, err := os.ReadFile(path)
			if call := otherDecoder.Find(source); call != nil {
				t.Errorf("%s calls %s...): use exactjson", path, call)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
