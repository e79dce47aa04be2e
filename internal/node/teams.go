package node

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/audit"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/core/quota"
	"honeylock/internal/wire"
)

// teamPrefix is the key prefix of operators' changes of teams in the state service. The team's name
// follows, escaped because a key may not contain spaces.
const teamPrefix = "ops/team/"

func teamKey(name string) string { return teamPrefix + url.PathEscape(name) }

// teamAuditName returns the name that stands for a team in the audit log. It can't be a plan's name,
// because those contain no space.
func teamAuditName(name string) string { return "team " + name }

// storedTeam is the stored change of one team.
type storedTeam struct {
	team    model.Name
	value   []byte
	version uint64
}

// readTeams lists the stored changes of teams. It ignores those of teams that are no longer in the
// platform file, but leaves them stored.
func (dm *drainManager) readTeams(ctx context.Context) (out []storedTeam, err error) {
	_, err = dm.lead.node.state.List(ctx, teamPrefix, func(item *wire.Item) error {
		name, err := url.PathUnescape(strings.TrimPrefix(item.Key, teamPrefix))
		if err != nil {
			return fmt.Errorf("stored change of a team %s: %w", item.Key, err)
		}
		if team, ok := dm.lead.node.names.Teams.Lookup(name); ok {
			out = append(out, storedTeam{team, item.Value, item.Version})
		}
		return nil
	})
	return out, err
}

// applyTeamOverrides passes the teams' current limits and guarantees to the dispatcher, after it has
// dropped the changes that have expired.
func (dm *drainManager) applyTeamOverrides() {
	wall := time.Now()
	dm.teamOverrides.Expire(wall)
	for i := range dm.lead.node.cfg.Cluster.Teams {
		team := model.Name(i)
		dm.lead.dispatcher.SetTeam(team, dm.teamOverrides.Team(team, wall))
	}
}

// teamWrite returns the write of a team's change with the audit entries about it.
func (dm *drainManager) teamWrite(w quota.Write, entries []*audit.Entry) storeWrite {
	return dm.recordWrite(teamKey(dm.lead.node.names.Teams.Name(w.Team)), w.Value, w.Version, entries,
		func(o writeOutcome) {
			dm.teamOverrides.WriteDone(w, o.revision, o.err == nil, o.conflict, o.foundVersion)
			dm.applyTeamOverrides()
		})
}

// changeTeam sets or unsets an operator's change of a team, and describes the outcome.
func (dm *drainManager) changeTeam(c *Call) (string, error) {
	team, ok := dm.lead.node.names.Teams.Lookup(c.Name)
	if !ok {
		return "", &quota.RefusedError{Reason: fmt.Sprintf("the platform's file has no team %q", c.Name)}
	}
	if c.Verb == TeamUnset {
		return "as the platform has it", dm.teamOverrides.Unset(team)
	}
	parsed, err := config.ParseTeamChange([]byte(c.Plan))
	if err != nil {
		return "", err
	}
	toMilliCPU := func(v *float64) *int64 {
		if v == nil {
			return nil
		}
		n := model.Capacity(*v, 0, 0).CPU
		return &n
	}
	change := quota.Change{LimitCPU: toMilliCPU(parsed.LimitCPUs), LimitGPU: toMilliCPU(parsed.LimitGPUs),
		GuaranteeCPU: toMilliCPU(parsed.GuaranteeCPUs), GuaranteeGPU: toMilliCPU(parsed.GuaranteeGPUs), By: c.Who}
	if !parsed.Until.IsZero() {
		change.UntilMS = parsed.Until.UnixMilli()
	}
	if err := dm.teamOverrides.Set(time.Now(), team, change); err != nil {
		return "", err
	}
	return "changed" + dm.guaranteeWarning(team, change), nil
}

// guaranteeWarning returns a warning, to be appended to the outcome of a change, if the guarantees of
// all teams then exceed the CPUs of the machines.
func (dm *drainManager) guaranteeWarning(team model.Name, change quota.Change) string {
	if change.GuaranteeCPU == nil {
		return ""
	}
	var guaranteed, available int64
	for i, t := range dm.lead.dispatcher.Teams() {
		if model.Name(i) == team {
			t.Guarantee.CPU = *change.GuaranteeCPU
		}
		guaranteed += t.Guarantee.CPU
	}
	for _, status := range dm.lead.dispatcher.MachineStatuses() {
		available += status.Machine.Cap.CPU
	}
	if guaranteed <= available {
		return ""
	}
	return fmt.Sprintf("; guarantees add up to %g CPUs, the machines that are up have %g", float64(guaranteed)/1000,
		float64(available)/1000)
}

// TeamReply is the state of a team as operators see it. Amounts are in CPUs.
type TeamReply struct {
	Team         string  `json:"team"`
	Limit        float64 `json:"limit_cpus"` // 0: none
	Guarantee    float64 `json:"guarantee_cpus"`
	Used         float64 `json:"used_cpus"`
	Borrowed     float64 `json:"borrowed_cpus"`     // beyond the guarantee
	Unaccounted  float64 `json:"unseen_cpus"`       // charged for tasks on machines that are not accounted for
	TasksWaiting int     `json:"waiting"`           // tasks that wait to start
	JobsOnHold   int     `json:"awaiting"`          // jobs that wait for other jobs
	BlockedBy    string  `json:"holds"`             // what the team's waiting tasks wait for
	Changed      string  `json:"changed,omitempty"` // by whom the platform file is overridden, and until when
}

// teamReplies returns the state of all teams, in the platform file's order.
func (dm *drainManager) teamReplies() []TeamReply {
	wall := time.Now()
	var out []TeamReply
	for i, t := range dm.lead.dispatcher.TeamStatus() {
		toCPUs := func(n int64) float64 { return float64(n) / 1000 }
		r := TeamReply{Team: dm.lead.node.names.Teams.Name(model.Name(i)), Limit: toCPUs(t.Limit.CPU),
			Guarantee: toCPUs(t.Guarantee.CPU),
			Used:      toCPUs(t.Used.CPU), Borrowed: toCPUs(max(0, t.Used.CPU-t.Guarantee.CPU)),
			Unaccounted:  toCPUs(t.Unaccounted.CPU),
			TasksWaiting: t.Waiting + t.AwaitingRecovery, JobsOnHold: t.JobsOnHold, BlockedBy: teamBlockedBy(&t)}
		if change, ok := dm.teamOverrides.Active(model.Name(i), wall); ok {
			r.Changed = "by " + change.By
			if change.UntilMS > 0 {
				r.Changed += " until " + time.UnixMilli(change.UntilMS).UTC().Format(time.RFC3339)
			}
		}
		out = append(out, r)
	}
	return out
}

// teamBlockedBy describes in one line what a team's waiting tasks wait for.
func teamBlockedBy(t *dispatcher.TeamStatus) string {
	switch {
	case t.AwaitingRecovery > 0:
		return formatCount(t.AwaitingRecovery, "task") +
			" of before the change of leader wait for machines that are not accounted for"
	case t.LimitReached() && t.Unaccounted.CPU > 0:
		return "its limit, with what is charged for machines that are not accounted for"
	case t.LimitReached():
		return "its limit"
	case t.Waiting > 0:
		return "room"
	case t.JobsOnHold > 0:
		return formatCount(t.JobsOnHold, "job") + " of its own wait for others"
	}
	return "nothing"
}

// answerTeams answers a call for the state of one team or of all teams.
func (dm *drainManager) answerTeams(c *Call) CallReply {
	all := dm.teamReplies()
	if c.Verb == TeamList {
		return okReply(all)
	}
	for _, r := range all {
		if r.Team == c.Name {
			return okReply(r)
		}
	}
	return errorReply(404, errors.New("the platform's file has no team \""+c.Name+"\""))
}
