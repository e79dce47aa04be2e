package node

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/segmentio/encoding/json"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"honeylock/internal/config"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

// testdata/0.4 and testdata/0.5 hold records and messages that those releases wrote, and the
// descriptors of their messages. 0.4 was in production when the upgrade began, and 0.5 followed it
// (docs/upgrade.md).

// golden reads a file of testdata.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// roundTrip decodes a record of an older release and encodes it again. The result must be the same:
// no field may be lost, and a new field must not appear before it is used.
func roundTrip[T any](t *testing.T, name string) *T {
	t.Helper()
	v := new(T)
	stored := golden(t, name)
	if err := json.Unmarshal(stored, v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	again, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(again), strings.TrimSpace(string(stored)); got != want {
		t.Errorf("%s is written as %s, was %s", name, got, want)
	}
	return v
}

// Records of release 0.4 are read and written without loss.
func TestReadRecordsOf04(t *testing.T) {
	sub := roundTrip[wire.Submission](t, "0.4/open.json")
	if len(sub.Dependencies()) != 0 || *sub.NameID != "job-000412" || sub.SubmittedMS != 1790000000123 {
		t.Errorf("%+v", sub)
	}
	if f := roundTrip[wire.Final](t, "0.4/final.json"); f.Stage != "aborted" || f.AtMS != 0 {
		t.Errorf("%+v", f)
	}
	if l := roundTrip[wire.Leader](t, "0.4/leader.json"); l.Term != 7 || l.Lease != 99 {
		t.Errorf("%+v", l)
	}
	roundTrip[wire.Term](t, "0.4/term.json")
	if c := roundTrip[wire.Chunk](t, "0.4/chunk.json"); !slices.Equal(c.Bits, []byte{0xff, 3}) {
		t.Errorf("%+v", c)
	}
	names := &wire.Names{Types: wire.NewTable(), Zones: wire.NewTable()}
	ms, err := roundTrip[wire.MachineBlock](t, "0.4/machines.json").Decode(names)
	if err != nil || len(ms) != 2 || ms[0].ID != 64 || !ms[0].Spot || names.Types.Name(ms[0].Type) != "large" {
		t.Errorf("%+v, %v", ms, err)
	}
}

// Records of release 0.5 are read and written without loss.
func TestReadRecordsOfLastRelease(t *testing.T) {
	sub := roundTrip[wire.Submission](t, "0.5/open.json")
	if !slices.Equal(sub.Dependencies(), []model.JobID{398, 405}) || *sub.NameID != "job-000420" {
		t.Errorf("%+v", sub)
	}
	if f := roundTrip[wire.Final](t, "0.5/final.json"); f.Stage != "done" || f.AtMS != 1790000009999 {
		t.Errorf("%+v", f)
	}
	if l := roundTrip[wire.Leader](t, "0.5/leader.json"); l.Term != 9 || l.Lease != 101 {
		t.Errorf("%+v", l)
	}
	roundTrip[wire.Term](t, "0.5/term.json")
	if c := roundTrip[wire.Chunk](t, "0.5/chunk.json"); !slices.Equal(c.Part, []byte{0xff, 3}) || c.From != 11904 {
		t.Errorf("%+v", c)
	}
	names := &wire.Names{Types: wire.NewTable(), Zones: wire.NewTable()}
	ms, err := roundTrip[wire.MachineBlock](t, "0.5/machines.json").Decode(names)
	if err != nil || len(ms) != 2 || ms[0].ID != 38 || !ms[0].Spot {
		t.Errorf("%+v, %v", ms, err)
	}
}

// Older releases ignore the new fields of records, because their JSON decoder skips unknown fields.
// The structs here are the records as those releases declare them.
func TestOldReleaseReadsNewRecords(t *testing.T) {
	var final struct {
		Stage string `json:"Stage"`
	}
	if err := json.Unmarshal(mustEncode(wire.Final{Stage: "done", AtMS: 5}), &final); err != nil || final.Stage != "done" {
		t.Errorf("%+v, %v", final, err)
	}
	// A later chunk of a job must not be read as the chunk that starts at task 0.
	var chunk struct {
		Bits []byte `json:"Bits"`
	}
	err := json.Unmarshal(mustEncode(wire.Chunk{Part: []byte{255}, From: 9000}), &chunk)
	if err != nil || len(chunk.Bits) != 0 {
		t.Errorf("%+v, %v", chunk, err)
	}
}

var (
	upMessages   = []string{"0.4/hello", "0.4/ask", "0.5/hello", "0.5/ask", "0.5/unowned", "0.5/released", "0.5/found"}
	downMessages = []string{"0.4/grant", "0.4/progress", "0.4/give", "0.4/reprice", "0.5/grant", "0.5/progress",
		"0.5/give", "0.5/reprice", "0.5/own", "0.5/release"}
)

// Messages of older releases are read with the same meaning, and written as they were.
func TestReadMessagesOfOldReleases(t *testing.T) {
	for _, name := range slices.Concat(upMessages, downMessages) {
		var m proto.Message = &peerpb.Down{}
		if slices.Contains(upMessages, name) {
			m = &peerpb.Up{}
		}
		b := golden(t, name+".binpb")
		if err := proto.Unmarshal(b, m); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil || string(again) != string(b) {
			t.Errorf("%s is not written as it was read (%v)", name, err)
		}
		if n := len(m.ProtoReflect().GetUnknown()); n > 0 {
			t.Errorf("%s: %d bytes unknown", name, n)
		}
	}
	// A price change without an objective leaves the objective unchanged.
	var down peerpb.Down
	if err := proto.Unmarshal(golden(t, "0.4/reprice.binpb"), &down); err != nil {
		t.Fatal(err)
	}
	codec := peer.NewCodec(&wire.Names{})
	order, err := codec.FromOrder(0, down.GetOrder())
	if err != nil || order.Kind != model.RepriceJob || order.Price != 3000 || order.Objective != model.ObjectiveUnchanged {
		t.Errorf("%+v, %v", order, err)
	}
	// Controllers of 0.5 send no session with a released machine, and their leader asks for
	// none. The machine is released in any case, without verifying that its worker receives
	// messages, and its tasks are not freed by a session.
	if err := proto.Unmarshal(golden(t, "0.5/release.binpb"), &down); err != nil {
		t.Fatal(err)
	}
	order, err = codec.FromOrder(0, down.GetOrder())
	if err != nil || order.Kind != model.ReleaseMachine || order.MessageID != (model.MessageID{}) || order.VerifyFirst {
		t.Errorf("%+v, %v", order, err)
	}
	var up peerpb.Up
	if err := proto.Unmarshal(golden(t, "0.5/released.binpb"), &up); err != nil {
		t.Fatal(err)
	}
	if event := codec.FromEvent(up.GetEvent()); event.Kind != model.MachineReleased || event.Session != 0 ||
		event.Held || len(event.Tasks) != 1 {
		t.Errorf("%+v", event)
	}
}

// messagePair is a message of this release, and what an older release should read in it.
type messagePair struct{ current, old proto.Message }

// Older releases read the messages of this release as before, except for fields that they don't know.
func TestOldReleasesReadNewMessages(t *testing.T) {
	compareAtRelease(t, "0.5", map[string]messagePair{
		"Ask": {&peerpb.Ask{Seq: 5, Promised: 4, StateAgeUs: 7, Told: []uint64{412, 9}, ToldForUs: 60},
			&peerpb.Ask{Seq: 5, Promised: 4, StateAgeUs: 7}},
		"Event": {&peerpb.Event{Kind: 5, Machine: 7, Session: 3, Seq: 9}, &peerpb.Event{Kind: 5, Machine: 7}},
		"Order": {&peerpb.Order{Kind: 10, Id: 7, Prove: true, Session: 3, Seq: 9}, &peerpb.Order{Kind: 10, Id: 7}},
		"Grant": {&peerpb.Grant{Seq: 5, ForUs: 9, SettledAgeUs: 70, ToldAgeUs: 80},
			&peerpb.Grant{Seq: 5, ForUs: 9, SettledAgeUs: 70}},
		"JobProgress": {&peerpb.JobProgress{Job: 4, Version: 7, Waits: true, Doubt: true},
			&peerpb.JobProgress{Job: 4, Version: 7, Waits: true}},
	})
	compareAtRelease(t, "0.4", map[string]messagePair{
		"Up": {&peerpb.Up{Msg: &peerpb.Up_Hello{Hello: &peerpb.Hello{Host: "c2", Release: release}}},
			&peerpb.Up{Msg: &peerpb.Up_Hello{Hello: &peerpb.Hello{Host: "c2"}}}},
		"Down": {&peerpb.Down{Msg: &peerpb.Down_Grant{Grant: &peerpb.Grant{Seq: 5, ForUs: 9, Number: 6, SettledAgeUs: 70}}},
			&peerpb.Down{Msg: &peerpb.Down_Grant{Grant: &peerpb.Grant{Seq: 5, ForUs: 9, Number: 6}}}},
		"JobProgress": {&peerpb.JobProgress{Job: 4, Version: 7, Waits: true}, &peerpb.JobProgress{Job: 4, Version: 7}},
		"Spec":        {&peerpb.Spec{Job: 4, Class: "x", Aimed: true}, &peerpb.Spec{Job: 4, Class: "x"}},
		"Order":       {&peerpb.Order{Kind: 7, Price: 3, Aim: 2}, &peerpb.Order{Kind: 7, Price: 3}},
	})
}

// compareAtRelease decodes both messages of each pair, given by message name, with the descriptors of
// an older release, and requires them to be equal.
func compareAtRelease(t *testing.T, release string, pairs map[string]messagePair) {
	t.Helper()
	var set descriptorpb.FileDescriptorSet
	if err := proto.Unmarshal(golden(t, release+"/peer.desc.binpb"), &set); err != nil {
		t.Fatal(err)
	}
	file, err := protodesc.NewFile(set.GetFile()[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, pair := range pairs {
		desc := file.Messages().ByName(protoreflect.Name(name))
		asRelease := func(m proto.Message) *dynamicpb.Message {
			b, err := proto.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			d := dynamicpb.NewMessage(desc)
			if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, d); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			return d
		}
		if diff := cmp.Diff(asRelease(pair.old), asRelease(pair.current), protocmp.Transform()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Record keys of 0.4 and of later layouts are parsed and written, and malformed ones refused.
func TestRecordKeysOfBothLayouts(t *testing.T) {
	for key, want := range map[string]dispatcher.BlockID{
		"machines/00000003": {Index: 3}, "machines/s19/00000012": {Size: 19, Index: 12},
	} {
		if id, err := parseBlockKey(key); err != nil || id != want || blockKey(id) != key {
			t.Errorf("%s: %+v, %v, %s", key, id, err, blockKey(id))
		}
	}
	for _, key := range []string{"machines/x", "machines/s/1", "machines/s0/1"} {
		if id, err := parseBlockKey(key); err == nil {
			t.Errorf("%s: %+v", key, id)
		}
	}
	for key, want := range map[string]dispatcher.ChunkID{
		"done/job-000412/1": {OldLayout: true, Index: 1}, "done/job-000412/0.3": {Index: 3},
	} {
		if id, c, err := parseChunkKey(key); err != nil || id != 412 || c != want || chunkKey(id, c) != key {
			t.Errorf("%s: %v %+v, %v", key, id, c, err)
		}
	}
}

// Records fit both the current limits of the state service and the announced ones.
func TestRecordsFitBothLimits(t *testing.T) {
	var c config.Cluster
	c.State.ValueKB, c.State.Next.ValueKB, c.State.TxnOps, c.State.Next.TxnOps = 16, 2, 16, 5
	maxBytes := int(c.ValueKB() * 1024)
	if maxBytes != 2048 || c.TxnOps() != 5 {
		t.Fatalf("%d bytes, %d changes", maxBytes, c.TxnOps())
	}
	names := &wire.Names{Types: wire.NewTable("an-ordinary-type-of-machine", "another-type-of-machines"),
		Zones: wire.NewTable("a-zone-with-a-name", "b-zone-with-a-name", "c-zone-with-a-name", "d-zone-with-a-name")}
	var ms []model.Machine
	for i := range blockSize(c.ValueKB()) {
		ms = append(ms, model.Machine{ID: model.MachineID(1<<30 + i), Addr: "100.100.100.100:65535", Type: model.Name(i % 2),
			Zone: model.Name(i % 4), Spot: true})
	}
	if n := len(mustEncode(wire.EncodeMachines(ms, names))); n > maxBytes {
		t.Errorf("%d machines take %d bytes", len(ms), n)
	}
	fullChunk := make([]byte, chunkSize(c.ValueKB())/8)
	for i := range fullChunk {
		fullChunk[i] = 255
	}
	if n := len(mustEncode(wire.Chunk{Part: fullChunk, From: 99_999})); n > maxBytes {
		t.Errorf("a chunk takes %d bytes", n)
	}
	// The transaction that finishes a job deletes as many chunks as fit. The others are deleted
	// after it.
	n := &Node{cfg: &config.Platform{Cluster: c}}
	loop := &dispatchLoop{lead: &leadership{node: n}, dispatcher: dispatcher.New(dispatcher.Params{}, 0)}
	write := loop.encodeWrite(dispatcher.Write{Kind: dispatcher.FinishJob, Job: 4,
		StoredChunks: make([]dispatcher.ChunkID, 9)})
	if len(write.ops) != 5 {
		t.Errorf("%d changes in one transaction", len(write.ops))
	}
}
