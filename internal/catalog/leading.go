package catalog

import (
	"cmp"
	"sort"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

// MaxLeading is the number of candidates that Leading returns at most. With 60% of the
// members of a service unresponsive, all of them are in one case of sixty.
const MaxLeading = 8

// Selection restricts and orders the candidates that Leading returns.
type Selection struct {
	// DataCentre is the data centre whose members come first; empty for none.
	DataCentre string
	// Opening restricts the candidates to the service selected by the flow's hash.
	Opening bool
	// After restricts the candidates to those that follow the target with this id in
	// the order of a single service; 0 for no restriction. See FollowsOneService.
	After uint32
}

// FollowsOneService reports whether the candidates of a packet belong to one service,
// so that the place of each target in their order is known from its id alone.
func (r *RouteView) FollowsOneService(opening bool) bool { return opening || len(r.Services) == 1 }

// Leading appends the first candidates of the flow to dst, at most MaxLeading, in the
// order of Candidates but with those of a preferred data centre first. It sorts only
// what it returns, since most packets go to the first candidate. complete reports
// whether there are no further candidates.
func (v *View) Leading(r *RouteView, k *packet.Key, s Selection, dst []*Member) (candidates []*Member, complete bool) {
	order := leadingOrder{hash: placement.FlowHash(v.hashView, k), after: s.After}
	if s.After != 0 {
		order.afterRank = placement.Rank(order.hash, s.After)
	}
	first, services := r.pickService(k), len(r.Services)
	if s.Opening {
		services = 1
	}
	limit := len(dst) + MaxLeading
	candidates, complete = dst, true
	for i := range services {
		service := r.Services[(first+i)%len(r.Services)]
		var l leaders
		from, to := service.dataCentreRange(s.DataCentre)
		l.add(service, from, to, &order)
		candidates, complete = l.appendTo(candidates, limit, complete)
	}
	for i := range services {
		service := r.Services[(first+i)%len(r.Services)]
		from, to := service.dataCentreRange(s.DataCentre)
		if len(candidates) == limit {
			complete = complete && to-from == len(service.members)
			continue
		}
		var l leaders
		l.add(service, 0, from, &order)
		l.add(service, to, len(service.members), &order)
		candidates, complete = l.appendTo(candidates, limit, complete)
	}
	return candidates, complete
}

// leadingOrder is the order of the candidates of one flow.
type leadingOrder struct {
	hash uint64
	// after and afterRank are those of Selection.After.
	after     uint32
	afterRank uint64
}

// leader is a member with its place in the order of its service.
type leader struct {
	rank   uint64
	id     uint32
	member *Member
}

func (l leader) precedes(o leader) bool {
	return cmp.Or(cmp.Compare(o.rank, l.rank), cmp.Compare(l.id, o.id)) < 0
}

// leaders holds the first candidates of a service, in their order.
type leaders struct {
	list [MaxLeading]leader
	n    int
	// omitted is set when a candidate did not fit.
	omitted bool
}

// add considers the members of a service with indexes from from up to to.
func (l *leaders) add(service *Service, from, to int, order *leadingOrder) {
	for i, id := range service.memberIDs[from:to] {
		rank := placement.Rank(order.hash, id)
		if order.after != 0 && (rank > order.afterRank || rank == order.afterRank && id <= order.after) {
			continue
		}
		if l.n == MaxLeading && rank < l.list[MaxLeading-1].rank {
			l.omitted = true
			continue
		}
		l.insert(leader{rank, id, service.members[from+i]})
	}
}

func (l *leaders) insert(x leader) {
	if l.n == MaxLeading {
		l.omitted = true
		if !x.precedes(l.list[MaxLeading-1]) {
			return
		}
		l.n--
	}
	i := l.n
	for ; i > 0 && x.precedes(l.list[i-1]); i-- {
		l.list[i] = l.list[i-1]
	}
	l.list[i] = x
	l.n++
}

// appendTo appends the members to dst up to the limit. complete stays true if none was
// left out.
func (l *leaders) appendTo(dst []*Member, limit int, complete bool) ([]*Member, bool) {
	n := min(l.n, limit-len(dst))
	for _, x := range l.list[:n] {
		dst = append(dst, x.member)
	}
	return dst, complete && n == l.n && !l.omitted
}

// dataCentreRange returns the range of indexes of the members in a data centre, which
// is empty and begins at 0 if the name is empty.
func (s *Service) dataCentreRange(dataCentre string) (from, to int) {
	if dataCentre == "" {
		return 0, 0
	}
	from = sort.Search(len(s.members), func(i int) bool { return s.members[i].DataCentre >= dataCentre })
	to = from + sort.Search(len(s.members)-from, func(i int) bool { return s.members[from+i].DataCentre > dataCentre })
	return from, to
}
