package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

func request(t *testing.T, method, addr, path, body string) (int, map[string]any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	var v map[string]any
	_ = json.NewDecoder(bytes.NewReader(b)).Decode(&v) // some answers are empty
	return res.StatusCode, v
}

func newStore(t *testing.T, l StoreLimits) (*Store, *StoreEndpoint) {
	t.Helper()
	s := NewStore(l)
	t.Cleanup(s.Close)
	endpoint, err := s.NewEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	return s, endpoint
}

// TestStoreProtocol checks the state service's answers to valid and invalid requests, and
// leases and watches during an outage.
func TestStoreProtocol(t *testing.T) {
	store, endpoint := newStore(t, StoreLimits{ValueKB: 1, TxnOps: 2})
	_, granted := request(t, "POST", endpoint.Addr, "/grants", `{"TtlMs":300}`)
	lease := fmt.Sprint(granted["Nectar"])
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/store/a/b", "", 404},
		{"POST", "/txn", `{"Guards":[{"K":"a/b","Frame":0}],"Then":[{"Put":"a/b","V":1},{"Put":"a/c","V":2,"Nectar":` +
			lease + `}]}`, 200},
		{"POST", "/txn", `{"Guards":[{"K":"a/b","Frame":0}],"Then":[{"Put":"a/b","V":3}]}`, 409},
		{"POST", "/txn", `{"Then":[{"Put":"x","V":1,"Nectar":99}]}`, 400},
		{"POST", "/txn", `{"Then":[{"Put":"x","V":1},{"Put":"y","V":1},{"Put":"z","V":1}]}`, 400},
		{"POST", "/txn", `{"Then":[{"Put":"x","V":"` + strings.Repeat("v", 1100) + `"}]}`, 400},
		{"POST", "/txn", `{"Then":[{"Put":"a key","V":1}]}`, 400},
		{"POST", "/txn", `{`, 400},
		{"POST", "/grants", `{"TtlMs":5}`, 400},
		{"GET", "/store/a/b", "", 200},
		{"POST", "/grants/" + lease + "/extend", "", 200},
		{"POST", "/grants/99/extend", "", 404},
		{"GET", "/watch?Starts=a/&From=0&WaitMs=10", "", 200},
	} {
		if got, v := request(t, c.method, endpoint.Addr, c.path, c.body); got != c.want {
			t.Errorf("%s %s %.60s: %d %v, want %d", c.method, c.path, c.body, got, v, c.want)
		}
	}
	if _, v := request(t, "GET", endpoint.Addr, "/store?Starts=a/&Page=1", ""); v["Truncated"] != true ||
		len(v["Entries"].([]any)) != 1 {
		t.Errorf("%v", v)
	}
	if _, v := request(t, "GET", endpoint.Addr, "/store?Starts=a/&From=a/b", ""); v["Truncated"] != false ||
		len(v["Entries"].([]any)) != 1 {
		t.Errorf("%v", v)
	}
	// During an outage no lease expires; after it each has its full time again.
	store.SetOutage(true)
	time.Sleep(400 * time.Millisecond)
	if status, _ := request(t, "GET", endpoint.Addr, "/store/a/c", ""); status != 503 {
		t.Errorf("status %d during an outage, want 503", status)
	}
	store.SetOutage(false)
	if status, _ := request(t, "GET", endpoint.Addr, "/store/a/c", ""); status != 200 {
		t.Errorf("status %d: the lease expired during an outage", status)
	}
	// A watch reports that a key was deleted when its lease expired.
	_, v := request(t, "GET", endpoint.Addr, "/watch?Starts=a/c&From="+fmt.Sprint(store.revision)+"&WaitMs=2000", "")
	if events := v["Events"].([]any); len(events) != 1 || events[0].(map[string]any)["Drop"] != "a/c" {
		t.Errorf("%v", v)
	}
	for range maxKeptChanges + 1 {
		store.WriteKey("b", json.RawMessage("1"))
	}
	if status, _ := request(t, "GET", endpoint.Addr, "/watch?Starts=a/&From=1&WaitMs=10", ""); status != 410 {
		t.Errorf("status %d for a revision that is no longer kept, want 410", status)
	}
}

// TestStoreRateLimits checks that the store limits writes and requests separately.
func TestStoreRateLimits(t *testing.T) {
	_, endpoint := newStore(t, StoreLimits{RPS: 20, WriteRPS: 5})
	statuses := map[int]int{}
	for range 12 {
		status, _ := request(t, "POST", endpoint.Addr, "/txn", `{"Then":[{"Put":"x","V":1}]}`)
		statuses[status]++
	}
	if statuses[200] < 5 || statuses[429] < 5 {
		t.Errorf("statuses of 12 writes at a limit of 5 per second: %v", statuses)
	}
	for range 20 {
		status, _ := request(t, "GET", endpoint.Addr, "/store/x", "")
		statuses[status]++
	}
	if statuses[429] < 10 {
		t.Errorf("requests are not limited; statuses: %v", statuses)
	}
}

// TestCloudAndWorkerProtocol checks that the cloud rents no more machines than it has and answers
// a repeated request in the same way, and that a worker obeys tokens, leases and its capacity
// and saves the progress of tasks.
func TestCloudAndWorkerProtocol(t *testing.T) {
	tasks := NewTaskRegistry()
	tasks.FindJob = func(string) []byte {
		return []byte(`{"Shape":"batch","Wax":"i","Cpus":5,"MemGb":1,"ImageGb":0,"ForageS":60,"CapIntervalS":0.05,"CapS":0.05}`)
	}
	cloud, err := NewCloud(CloudParams{
		Types: []MachineType{{Label: "k", Cpus: 8, MemGb: 8, PullGbPerS: 1, Yards: []string{"a"}, MaxPerZone: 2}}, RPS: 100,
		Timing: Timing{Report: 50 * time.Millisecond, Lease: 700 * time.Millisecond},
	}, tasks, []Host{{"h", "127.0.0.1:1"}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cloud.Close)
	rent := func(name string) (int, map[string]any) {
		return request(t, "POST", cloud.Addr(), "/rentals",
			`{"Hire":"`+name+`","Breed":"k","Yard":"a","SwarmBoxes":false,"Count":3}`)
	}
	_, first := rent("r-1")
	_, repeated := rent("r-1")
	if len(first["Hives"].([]any)) != 2 || fmt.Sprint(first) != fmt.Sprint(repeated) {
		t.Fatalf("first answer %v, repeated request %v", first, repeated)
	}
	if status, _ := rent("r-2"); status != 503 {
		t.Errorf("status %d with no machine left, want 503", status)
	}
	for len(cloud.Workers()) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	worker := cloud.Workers()[0]
	sendCommands := func(body string) (int, string) {
		status, v := request(t, "POST", worker.Addr(), "/commands", body)
		return status, fmt.Sprint(v["Cells"])
	}
	sendCommands(`{"QueenMark":5,"Flight":1,"Dances":[{"Dance":"launch","Cell":"job-000001/0","Brood":1},{"Dance":"launch","Cell":"job-000001/1","Brood":2}]}`)
	time.Sleep(200 * time.Millisecond)
	if status, attempts := sendCommands(`{"QueenMark":5,"Flight":1}`); status != 200 ||
		!strings.Contains(attempts, "running") || !strings.Contains(attempts, "no_room") {
		t.Errorf("status %d, attempts %s", status, attempts)
	}
	if status, _ := sendCommands(
		`{"QueenMark":4,"Flight":1,"Dances":[{"Dance":"kill","Cell":"job-000001/0","Brood":1}]}`); status != 409 {
		t.Errorf("status %d for an old token, want 409", status)
	}
	if status, _ := sendCommands(`{"QueenMark":6}`); status != 400 {
		t.Errorf("status %d without a session, want 400", status)
	}
	sendCommands(`{"QueenMark":6,"Flight":1,"Dances":[{"Dance":"kill","Cell":"job-000001/0","Brood":1,"SettleS":1}]}`)
	time.Sleep(150 * time.Millisecond)
	if _, attempts := sendCommands(`{"QueenMark":6,"Flight":1}`); !strings.Contains(attempts, "Saved:true") {
		t.Errorf("attempts %s: the task had enough time to save", attempts)
	}
	if tasks.saved["job-000001/0"] < 100*time.Millisecond {
		t.Errorf("saved progress: %v", tasks.saved)
	}
	time.Sleep(700 * time.Millisecond) // the lease expires because no controller answers the reports
	if status, attempts := sendCommands(`{"QueenMark":6,"Flight":2}`); status != 200 || attempts != "[]" {
		t.Errorf("status %d, attempts %s after the lease expired", status, attempts)
	}
}
