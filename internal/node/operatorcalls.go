package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/config"
	"honeylock/internal/core/audit"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/peer"
	"honeylock/internal/planfile"
	"honeylock/internal/planfile/planpb"
	"honeylock/internal/wire"
)

// Verb is the operation that an operator calls.
type Verb string

// Verbs of operators' calls.
const (
	AuditList    Verb = "audit list"
	DrainList    Verb = "drain list"
	DrainStatus  Verb = "drain status"
	DrainBudgets Verb = "drain budgets"
	// DrainPlan forecasts a given plan, DrainForecast one that is under way. The first call
	// starts the forecast; repeated calls with the same request ID return its progress until
	// it is complete.
	DrainPlan     Verb = "drain plan"
	DrainForecast Verb = "drain forecast"
	DrainApply    Verb = "drain apply"
	DrainPause    Verb = "drain pause"
	DrainResume   Verb = "drain resume"
	DrainCancel   Verb = "drain cancel"
	DrainPatched  Verb = "drain patched"
	MemberList    Verb = "member list"
	TeamList      Verb = "team list"
	TeamShow      Verb = "team show"
	TeamSet       Verb = "team set"
	TeamUnset     Verb = "team unset"
)

// Changes reports whether the verb changes something.
func (v Verb) Changes() bool {
	switch v {
	case AuditList, DrainList, DrainStatus, DrainBudgets, DrainPlan, DrainForecast, MemberList, TeamList, TeamShow:
		return false
	}
	return true
}

// Call is an operator's request, also as one controller forwards it to the leader.
type Call struct {
	Verb    Verb
	Name    string // of the plan or team
	Machine string // of DrainPatched
	Plan    string // of DrainPlan, DrainApply and TeamSet: protobuf text
	Who     string // name of the operator's access entry in the settings
	Request string // the caller's request ID; a change repeated under it is made once
	// Signature authenticates a forwarded call. Its key is the hash of the token that the operator
	// presented to the forwarding controller. It prevents calls on the controllers'
	// own port from bypassing the tokens.
	Signature []byte `json:"Seal,omitempty"`
}

// digest returns a hash of what the call asks for, to detect that a request ID is reused for a
// different change.
func (c *Call) digest() string {
	h := sha256.New()
	for _, s := range []string{string(c.Verb), c.Name, c.Machine, c.Plan} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// CallReply is the answer to an operator's call: an HTTP status with a JSON body or an error.
type CallReply struct {
	Status int
	Body   json.RawMessage `json:",omitempty"`
	Err    string          `json:",omitempty"`
}

func errorReply(status int, err error) CallReply { return CallReply{Status: status, Err: err.Error()} }

func okReply(v any) CallReply { return CallReply{Status: http.StatusOK, Body: mustEncode(v)} }

var (
	errNoLeader = errors.New("no leader can be reached: try again later")
	errUnstored = errors.New("it is not known yet whether this is stored: try again with the same request id")
)

var errBadSignature = errors.New("the controllers' settings differ: the leader does not know this token")

// operatorAccess returns an operator's access entry in the settings, nil if there is none.
func (n *Node) operatorAccess(who string) *config.Access {
	if n.settings.Operator == nil {
		return nil
	}
	for i := range n.settings.Operator.Access {
		if a := &n.settings.Operator.Access[i]; a.Name == who {
			return a
		}
	}
	return nil
}

// sign returns a MAC over all of the call's fields, keyed with the hash of the operator's token.
func (c *Call) sign(access *config.Access) []byte {
	h := hmac.New(sha256.New, access.Hash[:])
	for _, s := range []string{string(c.Verb), c.Name, c.Machine, c.Plan, c.Who, c.Request} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return h.Sum(nil)
}

// Operate answers an operator's call if this controller leads, and else forwards it to the
// leader.
func (n *Node) Operate(ctx context.Context, c Call) CallReply {
	n.mu.Lock()
	l, leader := n.lead, n.leader
	n.mu.Unlock()
	if l != nil {
		return l.operate(ctx, &c)
	}
	addr := n.siblingAddr(leader)
	if addr == "" {
		return errorReply(http.StatusServiceUnavailable, errNoLeader)
	}
	var r CallReply
	access := n.operatorAccess(c.Who)
	if access == nil {
		return errorReply(http.StatusForbidden, errBadSignature)
	}
	c.Signature = c.sign(access)
	if err := n.dialer.Forward(ctx, addr, peer.OpsPath, c, &r); err != nil {
		n.log.Debug("operator's call not forwarded to the leader", "verb", c.Verb, "err", err)
		return errorReply(http.StatusServiceUnavailable, errNoLeader)
	}
	return r
}

// serveCall answers an operator's call that another controller forwarded. It is not forwarded
// again.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	var c Call
	if !readPeerRequest(w, r, &c) {
		return
	}
	n.mu.Lock()
	l := n.lead
	n.mu.Unlock()
	reply := errorReply(http.StatusServiceUnavailable, errNoLeader)
	access := n.operatorAccess(c.Who)
	switch {
	case access == nil || !hmac.Equal(c.Signature, c.sign(access)) || c.Verb.Changes() && !access.Operate:
		n.log.Error("forwarded operator's call refused: operator unknown, signature invalid, or change not permitted",
			"who", c.Who, "verb", c.Verb)
		reply = errorReply(http.StatusForbidden, errBadSignature)
	case l != nil:
		reply = l.operate(r.Context(), &c)
	}
	n.writePeerReply(w, reply)
}

// operate answers a call on the leader. A change is made once per request ID, and answered when
// it is stored.
func (l *leadership) operate(ctx context.Context, c *Call) CallReply {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != l || !l.loaded || !n.election.Leading(n.now()) {
		return errorReply(http.StatusServiceUnavailable, errNoLeader)
	}
	now := n.now()
	if !c.Verb.Changes() {
		return l.drains.answerQuery(now, c)
	}
	e, err := l.drains.knownRequest(c)
	if err != nil {
		return errorReply(http.StatusConflict, err)
	}
	if e == nil {
		if r, pending := l.drains.forecastBeforeApply(now, c); pending {
			return r
		}
		e = l.drains.recordChange(now, c)
		n.log.Info("operator's change", "who", c.Who, "what", c.Verb, "name", c.Name, "status", e.Status, "outcome",
			e.Outcome)
	}
	return l.waitStored(ctx, e)
}

// waitStored waits until a change is certainly stored, and returns its outcome: until then a
// new leader might not know the change. It releases the node's lock while it waits.
func (l *leadership) waitStored(ctx context.Context, e *audit.Entry) CallReply {
	for !l.drains.audit.IsStored(e) || !l.drains.isStored(e.Name) && e.Status == http.StatusOK {
		l.node.mu.Unlock()
		sleep(ctx, 20*time.Millisecond)
		l.node.mu.Lock()
		if ctx.Err() != nil || l.node.lead != l {
			return errorReply(http.StatusServiceUnavailable, errUnstored)
		}
	}
	if e.Status != http.StatusOK {
		return CallReply{Status: e.Status, Err: e.Outcome}
	}
	return okReply(Outcome{Name: e.Name, Outcome: e.Outcome})
}

// Outcome is the answer to a change that was made.
type Outcome struct {
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
}

// recordChange makes or refuses a change, and returns the audit entry with the outcome.
func (dm *drainManager) recordChange(now time.Duration, c *Call) *audit.Entry {
	e := audit.Entry{AtMS: time.Now().UnixMilli(), Who: c.Who, Request: c.Request, Digest: c.digest(),
		What: string(c.Verb), Name: c.Name,
		Status: http.StatusOK}
	outcome, err := dm.applyChange(now, c)
	e.Name = c.Name // applyPlan sets it to the plan's name
	if c.Verb == TeamSet || c.Verb == TeamUnset {
		e.Name = teamAuditName(c.Name)
	}
	if err != nil {
		e.Status, outcome = errorStatus(err), err.Error()
	}
	const maxOutcomeBytes = 1024 // an entry must fit into a value of the state service
	e.Outcome = outcome[:min(len(outcome), maxOutcomeBytes)]
	return dm.audit.Add(e)
}

// applyChange makes the change that a call asks for, and describes its outcome.
func (dm *drainManager) applyChange(now time.Duration, c *Call) (outcome string, err error) {
	switch c.Verb {
	case DrainApply:
		return dm.applyPlan(now, c)
	case TeamSet, TeamUnset:
		return dm.changeTeam(c)
	case DrainPause:
		return "paused", dm.engine.Pause(c.Name)
	case DrainResume:
		return "resumed", dm.engine.Resume(c.Name)
	case DrainCancel:
		return "cancelled", dm.engine.Cancel(now, c.Name)
	case DrainPatched:
		id, err := wire.ParseMachine(c.Machine)
		if err != nil {
			return "", err
		}
		return c.Machine + " is patched", dm.engine.Patched(now, c.Name, id, c.Machine)
	}
	return "", errors.New("unknown verb " + string(c.Verb))
}

// applyPlan starts a plan, unless it conflicts with another one or its forecast misses a window.
func (dm *drainManager) applyPlan(now time.Duration, c *Call) (string, error) {
	declared, err := dm.parsePlan(now, c.Plan)
	if err != nil {
		return "", err
	}
	c.Name = declared.spec.Name
	if err := dm.engine.Check(declared.spec, declared.source, wire.MachineName); err != nil {
		return "", err
	}
	if err := dm.checkWindows(c); err != nil {
		return "", err
	}
	plan := dm.engine.Apply(now, time.Now(), declared.spec, declared.source, c.Who)
	return "applied to " + formatCount(len(plan.Steps), "machine"), nil
}

// declaredPlan is a plan from an operator's text, with the machines that it selects now.
type declaredPlan struct {
	pb     *planpb.Plan
	spec   *drain.Spec
	source []byte
}

// parsePlan parses a plan and selects its machines. A named machine that is not selected is an
// error.
func (dm *drainManager) parsePlan(now time.Duration, text string) (*declaredPlan, error) {
	pb, err := planfile.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	declared := &declaredPlan{pb: pb, spec: planfile.Spec(pb, dm.lead.node.names)}
	if declared.source, err = planfile.Encode(pb); err != nil {
		return nil, err
	}
	declared.spec.Machines = planfile.Choose(pb, dm.candidates(now), dm.lead.node.names)
	if missing := firstMissing(pb, declared.spec.Machines); missing != "" {
		return nil, &drain.RefusedError{Reason: "machines.names: " + missing +
			" is no machine of this cluster, or the other fields of the plan exclude it"}
	}
	return declared, nil
}

// firstMissing returns the first machine that a plan names and that was not selected, "" if
// there is none.
func firstMissing(pb *planpb.Plan, machines []model.MachineID) string {
	found := map[string]bool{}
	for _, id := range machines {
		found[wire.MachineName(id)] = true
	}
	for _, name := range pb.GetMachines().GetNames() {
		if !found[name] {
			return name
		}
	}
	return ""
}

// candidates returns all machines that a plan can select.
func (dm *drainManager) candidates(now time.Duration) []planfile.Candidate {
	machineAges := map[model.MachineID]time.Duration{}
	dm.lead.rentals.fleet.ForEachMachine(now, func(m model.Machine,
		since time.Duration) {
		machineAges[m.ID] = now - since
	})
	var out []planfile.Candidate
	dm.lead.dispatcher.ForEachMachine(func(status model.MachineStatus, reported bool) {
		out = append(out, planfile.Candidate{Machine: status.Machine, Age: machineAges[status.Machine.ID],
			Free: status.Avail.CPU})
	})
	return out
}

// answerQuery answers a call that changes nothing.
func (dm *drainManager) answerQuery(now time.Duration, c *Call) CallReply {
	switch c.Verb {
	case AuditList:
		return okReply(dm.audit.List(auditSlots))
	case DrainList:
		out := []PlanStatus{}
		for _, s := range dm.engine.List(now) {
			out = append(out, dm.planStatus(&s))
		}
		return okReply(out)
	case MemberList:
		return okReply(dm.lead.memberReplies(now))
	case TeamList, TeamShow:
		return dm.answerTeams(c)
	case DrainBudgets:
		return okReply(dm.budgetStatuses(now))
	case DrainPlan, DrainForecast:
		return dm.answerForecast(now, c)
	case DrainStatus:
		s := dm.engine.Status(now, c.Name)
		if s == nil {
			return errorReply(http.StatusNotFound, errors.New("no plan is named \""+c.Name+"\""))
		}
		return okReply(dm.planStatus(s))
	}
	return errorReply(http.StatusBadRequest, errors.New("unknown verb "+string(c.Verb)))
}
