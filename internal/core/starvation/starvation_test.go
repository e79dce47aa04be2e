package starvation

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const s = time.Second

// Jobs that wait too long are late until they begin or are cancelled, and each group
// counts those that begin and those that should have.
func TestGroupsCountWhatBeginsAndWhatShouldHave(t *testing.T) {
	b := New(60 * s)
	var jobs []Job
	for i := range 20 { // the last two are wide
		tasks := int32(4)
		if i >= 18 {
			tasks = 400
		}
		jobs = append(jobs, Job{ID: model.JobID(i), Class: model.Name(i % 2), Team: 7, Tasks: tasks})
	}
	b.Update(10*s, jobs)
	if len(b.Overdue()) != 0 || len(Starved(b.GroupStats(10*s))) != 0 {
		t.Fatal("late after 10 s")
	}
	for i := range jobs {
		jobs[i].Begun = jobs[i].Class == 0 && i != 18
	}
	b.Update(61*s, jobs)
	late := b.Overdue()
	if len(late) != 11 || late[0] != 1 {
		t.Fatalf("late %v, want the ten of class 1 and the wide one of class 0, the oldest first", late)
	}
	got := map[Group]GroupStats{}
	for _, x := range b.GroupStats(61 * s) {
		got[x.Group] = x
	}
	if x := got[Group{Class, 0}]; x.Begun != 9 || x.Overdue != 1 || x.BegunFraction() != 0.9 {
		t.Errorf("class 0: %+v", x)
	}
	if x := got[Group{Largest, 0}]; x.Begun != 0 || x.Overdue != 1 || x.LongestWait != 61*s {
		t.Errorf("largest of class 0: %+v", x)
	}
	danger := Starved(b.GroupStats(61 * s))
	if len(danger) != 2 || danger[0].Group != (Group{Class, 1}) || danger[1].Group != (Group{Team, 7}) {
		t.Errorf("in danger: %+v, want class 1 and the team", danger)
	}
	b.Update(70*s, jobs[:1]) // all but one were cancelled, or are done
	if len(b.Overdue()) != 0 {
		t.Errorf("late %v, though they are no longer open", b.Overdue())
	}
}
