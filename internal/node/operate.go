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

// Verb of an operator's call.
type Verb string

// Verbs. Those from Apply on change something.
const (
	AuditList   Verb = "audit list"
	DrainList   Verb = "drain list"
	DrainStatus Verb = "drain status"
	DrainBudget Verb = "drain budgets"
	// DrainPlan forecasts a plan, DrainAgain one that is under way: begun under a
	// request's id, asked again under it until it is complete.
	DrainPlan   Verb = "drain plan"
	DrainAgain  Verb = "drain forecast"
	DrainApply  Verb = "drain apply"
	DrainPause  Verb = "drain pause"
	DrainResume Verb = "drain resume"
	DrainCancel Verb = "drain cancel"
	DrainDone   Verb = "drain patched"
	MemberList  Verb = "member list"
	TeamList    Verb = "team list"
	TeamShow    Verb = "team show"
	TeamSet     Verb = "team set"
	TeamUnset   Verb = "team unset"
)

// Changes tells whether a call changes something.
func (v Verb) Changes() bool {
	switch v {
	case AuditList, DrainList, DrainStatus, DrainBudget, DrainPlan, DrainAgain, MemberList, TeamList, TeamShow:
		return false
	}
	return true
}

// Call is an operator's request, as one controller passes it to another.
type Call struct {
	Verb    Verb
	Name    string // of the plan, or the team
	Machine string // DrainDone
	Plan    string // DrainApply, TeamSet: protobuf text
	Who     string
	Request string // the asker's id; a change repeated under it is not made twice
	// Seal is made with the hash of the token that the caller showed to the
	// controller that passes the call on: its own port is no way round the tokens.
	Seal []byte `json:",omitempty"`
}

// digest tells changes apart.
func (c *Call) digest() string {
	h := sha256.New()
	for _, s := range []string{string(c.Verb), c.Name, c.Machine, c.Plan} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// CallReply answers an operator.
type CallReply struct {
	Status int
	Body   json.RawMessage `json:",omitempty"`
	Err    string          `json:",omitempty"`
}

func callError(status int, err error) CallReply { return CallReply{Status: status, Err: err.Error()} }

func body(v any) CallReply { return CallReply{Status: http.StatusOK, Body: encode(v)} }

var (
	errNoLeader = errors.New("no leader can be reached: come back")
	errUnstored = errors.New("it is not known yet whether this is stored: ask again under the same request id")
)

var errSeal = errors.New("the controllers' settings differ: the leader does not know this token")

// access is what the settings say of an operator, nil if they say nothing.
func (n *Node) access(who string) *config.Access {
	if n.set.Operator == nil {
		return nil
	}
	for i := range n.set.Operator.Access {
		if a := &n.set.Operator.Access[i]; a.Name == who {
			return a
		}
	}
	return nil
}

// seal is a MAC over all that a call asks for.
func (c *Call) seal(a *config.Access) []byte {
	h := hmac.New(sha256.New, a.Hash[:])
	for _, s := range []string{string(c.Verb), c.Name, c.Machine, c.Plan, c.Who, c.Request} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return h.Sum(nil)
}

// Operate answers an operator here, or passes the call to the leader.
func (n *Node) Operate(ctx context.Context, c Call) CallReply {
	n.mu.Lock()
	l, leader := n.lead, n.leader
	n.mu.Unlock()
	if l != nil {
		return l.operate(ctx, &c)
	}
	addr := n.siblingAddr(leader)
	if addr == "" {
		return callError(http.StatusServiceUnavailable, errNoLeader)
	}
	var r CallReply
	a := n.access(c.Who)
	if a == nil {
		return callError(http.StatusForbidden, errSeal)
	}
	c.Seal = c.seal(a)
	if err := n.dialer.Forward(ctx, addr, peer.OpsPath, c, &r); err != nil {
		n.log.Debug("operator's call not passed on", "verb", c.Verb, "err", err)
		return callError(http.StatusServiceUnavailable, errNoLeader)
	}
	return r
}

// serveCall answers what a sibling passes on; it is not passed on again.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	var c Call
	if !readPeer(w, r, &c) {
		return
	}
	n.mu.Lock()
	l := n.lead
	n.mu.Unlock()
	reply := callError(http.StatusServiceUnavailable, errNoLeader)
	a := n.access(c.Who)
	switch {
	case a == nil || !hmac.Equal(c.Seal, c.seal(a)) || c.Verb.Changes() && !a.Operate:
		n.log.Error("operator's call refused: it bears no seal of ours", "who", c.Who, "verb", c.Verb)
		reply = callError(http.StatusForbidden, errSeal)
	case l != nil:
		reply = l.operate(r.Context(), &c)
	}
	n.answerPeer(w, reply)
}

// operate answers on the leader.
func (l *leadership) operate(ctx context.Context, c *Call) CallReply {
	n := l.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != l || !l.loaded || !n.el.Leading(n.now()) {
		return callError(http.StatusServiceUnavailable, errNoLeader)
	}
	now := n.now()
	if !c.Verb.Changes() {
		return l.drains.ask(now, c)
	}
	e, err := l.drains.known(c)
	if err != nil {
		return callError(http.StatusConflict, err)
	}
	if e == nil {
		if r, wait := l.drains.foresee(now, c); wait {
			return r
		}
		e = l.drains.change(now, c)
		n.log.Info("operator's change", "who", c.Who, "what", c.Verb, "name", c.Name, "status", e.Status, "outcome",
			e.Outcome)
	}
	return l.settle(ctx, e)
}

// settle answers a change once it is surely stored: before, a new leader might
// not know of it.
func (l *leadership) settle(ctx context.Context, e *audit.Entry) CallReply {
	for !l.drains.audit.IsStored(e) || !l.drains.synced(e.Name) && e.Status == http.StatusOK {
		l.n.mu.Unlock()
		sleep(ctx, 20*time.Millisecond)
		l.n.mu.Lock()
		if ctx.Err() != nil || l.n.lead != l {
			return callError(http.StatusServiceUnavailable, errUnstored)
		}
	}
	if e.Status != http.StatusOK {
		return CallReply{Status: e.Status, Err: e.Outcome}
	}
	return body(Outcome{Name: e.Name, Outcome: e.Outcome})
}

// Outcome of a change.
type Outcome struct {
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
}

// change makes a change, or refuses it; the entry tells.
func (p *draining) change(now time.Duration, c *Call) *audit.Entry {
	e := audit.Entry{AtMS: time.Now().UnixMilli(), Who: c.Who, Request: c.Request, Digest: c.digest(),
		What: string(c.Verb), Name: c.Name,
		Status: http.StatusOK}
	outcome, err := p.make(now, c)
	e.Name = c.Name // of a plan that is applied
	if c.Verb == TeamSet || c.Verb == TeamUnset {
		e.Name = teamEntry(c.Name)
	}
	if err != nil {
		e.Status, outcome = statusOf(err), err.Error()
	}
	const most = 1024 // an entry must fit into a value
	e.Outcome = outcome[:min(len(outcome), most)]
	return p.audit.Add(e)
}

// make makes a change.
func (p *draining) make(now time.Duration, c *Call) (outcome string, err error) {
	switch c.Verb {
	case DrainApply:
		return p.apply(now, c)
	case TeamSet, TeamUnset:
		return p.changeTeam(c)
	case DrainPause:
		return "paused", p.e.Pause(c.Name)
	case DrainResume:
		return "resumed", p.e.Resume(c.Name)
	case DrainCancel:
		return "cancelled", p.e.Cancel(now, c.Name)
	case DrainDone:
		id, err := wire.ParseMachine(c.Machine)
		if err != nil {
			return "", err
		}
		return c.Machine + " is patched", p.e.Patched(now, c.Name, id, c.Machine)
	}
	return "", errors.New("unknown verb " + string(c.Verb))
}

func (p *draining) apply(now time.Duration, c *Call) (string, error) {
	d, err := p.declared(now, c.Plan)
	if err != nil {
		return "", err
	}
	c.Name = d.spec.Name
	if err := p.e.Check(d.spec, d.source, wire.MachineName); err != nil {
		return "", err
	}
	if err := p.pushed(c); err != nil {
		return "", err
	}
	plan := p.e.Apply(now, time.Now(), d.spec, d.source, c.Who)
	return "applied to " + count(len(plan.Steps), "machine"), nil
}

// declared is a plan as an operator gave it, with the machines that it means now.
type declared struct {
	pb     *planpb.Plan
	spec   *drain.Spec
	source []byte
}

func (p *draining) declared(now time.Duration, text string) (*declared, error) {
	pb, err := planfile.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	d := &declared{pb: pb, spec: planfile.Spec(pb, p.l.n.names)}
	if d.source, err = planfile.Encode(pb); err != nil {
		return nil, err
	}
	d.spec.Machines = planfile.Choose(pb, p.candidates(now), p.l.n.names)
	if missing := unknown(pb, d.spec.Machines); missing != "" {
		return nil, &drain.RefusedError{Reason: "machines.names: " + missing +
			" is no machine of this cluster, or not one that the other fields allow"}
	}
	return d, nil
}

// unknown is the first machine that a plan names and does not get.
func unknown(pb *planpb.Plan, got []model.MachineID) string {
	have := map[string]bool{}
	for _, id := range got {
		have[wire.MachineName(id)] = true
	}
	for _, n := range pb.GetMachines().GetNames() {
		if !have[n] {
			return n
		}
	}
	return ""
}

// candidates are the machines that a plan may mean.
func (p *draining) candidates(now time.Duration) []planfile.Candidate {
	ages := map[model.MachineID]time.Duration{}
	p.l.rents.f.ForEachMachine(now, func(m model.Machine, since time.Duration) { ages[m.ID] = now - since })
	var out []planfile.Candidate
	p.l.d.ForEachMachine(func(st model.MachineStatus, told bool) {
		out = append(out, planfile.Candidate{Machine: st.Machine, Age: ages[st.Machine.ID], Free: st.Avail.CPU})
	})
	return out
}

// ask answers a question.
func (p *draining) ask(now time.Duration, c *Call) CallReply {
	switch c.Verb {
	case AuditList:
		return body(p.audit.List(auditSlots))
	case DrainList:
		out := []PlanStatus{}
		for _, s := range p.e.List(now) {
			out = append(out, p.planStatus(&s))
		}
		return body(out)
	case MemberList:
		return body(p.l.members(now))
	case TeamList, TeamShow:
		return p.askTeams(c)
	case DrainBudget:
		return body(p.budgets(now))
	case DrainPlan, DrainAgain:
		return p.askForecast(now, c)
	case DrainStatus:
		s := p.e.Status(now, c.Name)
		if s == nil {
			return callError(http.StatusNotFound, errors.New("no plan is named \""+c.Name+"\""))
		}
		return body(p.planStatus(s))
	}
	return callError(http.StatusBadRequest, errors.New("unknown verb "+string(c.Verb)))
}
