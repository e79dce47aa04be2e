package wire

import (
	stdjson "encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// withExactNames returns the JSON text of a report without the fields whose names differ from the
// protocol's in case. Text that is not an object with such fields is returned as it is.
func withExactNames(text string) string {
	var fields map[string]stdjson.RawMessage
	if stdjson.Unmarshal([]byte(text), &fields) != nil {
		return text
	}
	known := map[string]bool{}
	for i := range reflect.TypeFor[reportJSON]().NumField() {
		known[reflect.TypeFor[reportJSON]().Field(i).Tag.Get("json")] = true
	}
	removed := false
	for name := range fields {
		if !known[name] {
			delete(fields, name)
			removed = true
		}
	}
	if !removed {
		return text
	}
	exact, err := stdjson.Marshal(fields)
	if err != nil {
		panic(err) // fields come from valid JSON
	}
	return string(exact)
}

// Reports and submissions must be accepted, rejected and decoded as encoding/json would do if it
// matched names exactly: otherwise the scheduler could misread which tasks a worker holds.
func TestReportDecodingMatchesStandardLibrary(t *testing.T) {
	attempt := `{"Cell":"job-000001/2","Brood":68719476737,"Stage":"running","Cause":"","Saved":false}`
	valid := `{"Hive":"m-000001","Addr":"a","Flight":3,"Buzz":4,"QueenMark":4294967297,"SmokeS":null,` +
		`"Cells":[` + attempt + `]}`
	inputs := []string{valid, "", " ", "null", "{}", "[]", `"x"`, valid + valid, valid + "x", valid + " \n",
		`{"Flight":-1}`,
		`{"Flight":1.5}`, `{"Flight":1e3}`, `{"Flight":"1"}`, `{"Flight":18446744073709551616}`,
		`{"Flight":18446744073709551615}`,
		`{"flight":7}`, `{"FLIGHT":7}`, `{"Flight":7,"flight":8}`, `{"cells":1,"Cells":[]}`, `{"cells":[{}]}`,
		`{"flight":7,}`,
		`{"Flight":7,"Flight":8}`, `{"Cells":null}`, `{"Cells":{}}`, `{"Cells":[null]}`,
		`{"Cells":[` + attempt + `,]}`, `{"Cells":[` + attempt, `{"Hive":"\u00e9\ud83d\ude00\n"}`, `{"Hive":"\ud83d"}`,
		`{"Hive":"` + "\xff" + `"}`,
		`{"Hive":"` + "\x01" + `"}`, `{"Hive":'x'}`, `{Hive:"x"}`, `{"Hive":true}`, `{"SwarmBoxes":"true"}`,
		`{"SmokeS":1e400}`,
		`{"SmokeS":01}`, `{"SmokeS":.5}`, `{"SmokeS":-0.5e-3}`, `{"SmokeS":NaN}`,
		`{"Other":{"a":[1,{"b":"}"}]},"Buzz":9}`,
		`{"Other":[1,2,}`, `{"Buzz":9,}`, `{"Buzz":9`, `{"Buzz" 9}`, "\ufeff{}", `{"Buzz":9}/**/`}
	for i := range len(valid) {
		inputs = append(inputs, valid[:i])
	}
	for _, s := range inputs {
		var want reportJSON
		wantErr := stdjson.Unmarshal([]byte(withExactNames(s)), &want)
		got, err := ParseReport([]byte(s))
		if (err == nil) != (wantErr == nil) {
			t.Errorf("%q: error %v, the standard library returns %v", s, err, wantErr)
		} else if err == nil && !reflect.DeepEqual(got.body, want) {
			t.Errorf("%q: %+v, the standard library decodes %+v", s, got.body, want)
		}
	}
}

func TestNumberedNames(t *testing.T) {
	for _, n := range []uint64{0, 1, 9, 10, 99, 100, 12345, 99_999, 100_000, 999_999, 1_000_000, 1<<63 - 1} {
		s := formatNumbered("job-", n)
		if want := fmt.Sprintf("job-%06d", n); s != want {
			t.Errorf("%d: %q, want %q", n, s, want)
		}
		if id, err := ParseJob(s); err != nil || uint64(id) != n {
			t.Errorf("%q parsed as %d, %v", s, id, err)
		}
	}
	for _, s := range []string{"job-00001", "job-0000001", "job-0100000", "job-+00001", "job--00001",
		"job-00000x", "job-1_0000", "m-000001", "job-"} {
		if _, err := ParseJob(s); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}
