package starvation

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const s = time.Second

// Jobs that wait too long are overdue until they begin or are cancelled, and each group counts the
// jobs that have begun and those that should have.
func TestGroupsCountStartedAndOverdueJobs(t *testing.T) {
	detector := New(60 * s)
	var jobs []Job
	for i := range 20 { // the last two have many tasks
		tasks := int32(4)
		if i >= 18 {
			tasks = 400
		}
		jobs = append(jobs, Job{ID: model.JobID(i), Class: model.Name(i % 2), Team: 7, Tasks: tasks})
	}
	detector.Update(10*s, jobs)
	if len(detector.Overdue()) != 0 || len(Starved(detector.GroupStats(10*s))) != 0 {
		t.Fatal("overdue after 10 s")
	}
	for i := range jobs {
		jobs[i].Started = jobs[i].Class == 0 && i != 18
	}
	detector.Update(61*s, jobs)
	overdue := detector.Overdue()
	if len(overdue) != 11 || overdue[0] != 1 {
		t.Fatalf("overdue %v, want the ten of class 1 and the large one of class 0, the oldest first", overdue)
	}
	got := map[Group]GroupStats{}
	for _, stats := range detector.GroupStats(61 * s) {
		got[stats.Group] = stats
	}
	if stats := got[Group{Class, 0}]; stats.Started != 9 || stats.Overdue != 1 || stats.StartedFraction() != 0.9 {
		t.Errorf("class 0: %+v", stats)
	}
	if stats := got[Group{Largest, 0}]; stats.Started != 0 || stats.Overdue != 1 || stats.LongestWait != 61*s {
		t.Errorf("largest of class 0: %+v", stats)
	}
	starved := Starved(detector.GroupStats(61 * s))
	if len(starved) != 2 || starved[0].Group != (Group{Class, 1}) || starved[1].Group != (Group{Team, 7}) {
		t.Errorf("starved: %+v, want class 1 and the team", starved)
	}
	detector.Update(70*s, jobs[:1]) // all but one were cancelled or have completed
	if len(detector.Overdue()) != 0 {
		t.Errorf("overdue %v, though they are no longer open", detector.Overdue())
	}
}
