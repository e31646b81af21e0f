package slugcapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

// newDataCentre returns a data centre with 6 initial engines and nothing ordered yet.
func newDataCentre(name slugname.DataCentre, regular, cheap int) DataCentre {
	return DataCentre{Name: name, Initial: 6, Regular: regular, Cheap: cheap, OrderedRegular: -1, OrderedCheap: -1}
}

func service(d ...DataCentre) Service {
	return Service{Min: 1, Max: 12, HasCheap: true, DataCentres: d}
}

// busyService returns a service whose prompts and responses call for 9 engines.
func busyService(d ...DataCentre) Service {
	s := service(d...)
	s.PeakPrefillBusy, s.PeakStreams, s.Slots = 7, 40, 64
	return s
}

// describe formats orders for comparison.
func describe(orders []Order) string {
	out := ""
	for _, o := range orders {
		kind := "regular"
		if o.Cheap {
			kind = "cheap"
		}
		out += fmt.Sprintf("%s %d %s; ", o.DataCentre, o.Count, kind)
	}
	return out
}

// TestOrders guards against releasing engines that are needed, ordering engines twice
// and not replacing engines that are missing.
func TestOrders(t *testing.T) {
	ordered := newDataCentre("a", 6, 5)
	ordered.OrderedCheap = 6
	settled := newDataCentre("a", 1, 11)
	settled.OrderedCheap, settled.OrderedRegular = 11, 1
	missing := settled
	missing.Cheap, missing.CheapOverdue = 5, true
	regularReleased := newDataCentre("a", 1, 6)
	regularReleased.OrderedCheap, regularReleased.OrderedRegular = 6, 1
	noCheap := newDataCentre("a", 1, 0)
	noCheap.OrderedRegular, noCheap.OrderedCheap, noCheap.CheapRefusedAt = 1, 8, now.Add(-time.Second)
	// The store was unavailable while engines were reclaimed, so a new holder of the
	// duty saw few of the engines and was refused more.
	partlySeen := newDataCentre("a", 6, 8)
	partlySeen.OrderedRegular, partlySeen.OrderedCheap = 6, 12
	refused := newDataCentre("a", 0, 8)
	refused.OrderedRegular, refused.OrderedCheap, refused.CheapRefusedAt = 0, 12, now.Add(-time.Second)
	partlyMissing := partlySeen
	partlyMissing.CheapOverdue = true
	unconfirmed := newDataCentre("a", 0, 12)
	unconfirmed.OrderedRegular, unconfirmed.OrderedCheap, unconfirmed.CheapUnanswered = 0, 12, true
	notRemoved := newDataCentre("a", 6, 11)
	notRemoved.OrderedRegular, notRemoved.OrderedCheap, notRemoved.RegularNotReleased = 1, 11, true
	for name, c := range map[string]struct {
		s    Service
		want string
	}{
		"serving engines are not released to make room":                   {service(partlySeen, newDataCentre("b", 0, 0)), "b 6 cheap; a 0 regular; "},
		"missing engines are ordered up to the maximum":                   {service(partlyMissing, newDataCentre("b", 0, 0)), "a 8 cheap; b 6 cheap; a 0 regular; "},
		"regular engines replace only what is missing":                    {service(refused, newDataCentre("b", 0, 0)), "a 4 regular; b 6 cheap; "},
		"an unanswered order is repeated unchanged":                       {service(unconfirmed, newDataCentre("b", 0, 0)), "a 12 cheap; b 6 cheap; "},
		"regular engines that did not leave are released again":           {service(notRemoved), "a 1 regular; "},
		"cheap engines are ordered first before any traffic":              {service(newDataCentre("a", 6, 0)), "a 6 cheap; "},
		"regular engines are released once cheap ones serve":              {service(ordered), "a 1 regular; "},
		"remaining cheap engines are ordered once regular ones left":      {service(regularReleased), "a 11 cheap; "},
		"the full number is ordered again after engines did not start":    {service(missing), "a 11 cheap; "},
		"cheap engines are ordered before any engine has registered":      {service(newDataCentre("a", 0, 0)), "a 6 cheap; "},
		"a settled service gets no orders":                                {service(settled), ""},
		"regular engines replace reclaimed ones while none are available": {service(noCheap), "a 6 regular; "},
		"demand calls for more regular engines than there were at first":  {busyService(noCheap), "a 9 regular; "},
		"nothing is released without cheap engines":                       {Service{Min: 1, Max: 12, DataCentres: []DataCentre{newDataCentre("a", 6, 0)}}, ""},
	} {
		assert.Equal(t, describe(Orders(c.s, now)), c.want, name)
	}
}

// TestRoles guards against wrong numbers of decode engines, decoding on reclaimable
// engines while regular ones are available, and changing an engine in the middle of a
// change.
func TestRoles(t *testing.T) {
	engine := func(name slugname.Endpoint, r slugplan.Role, cheap bool) Engine {
		return Engine{Name: name, DataCentre: "a", Role: r, Cheap: cheap}
	}
	const p, d = slugplan.RolePrefill, slugplan.RoleDecode
	for name, c := range map[string]struct {
		engines []Engine
		decode  int
		want    []RoleChange
	}{
		"cheap engines stop decoding first":                   {[]Engine{engine("1", d, false), engine("2", d, true), engine("3", d, true)}, 1, []RoleChange{{"2", p}, {"3", p}}},
		"regular engines start decoding first":                {[]Engine{engine("1", p, true), engine("2", p, false)}, 1, []RoleChange{{"2", d}}},
		"the wanted number of decode engines needs no change": {[]Engine{engine("1", p, false), engine("2", d, true)}, 1, nil},
	} {
		assert.DeepEqual(t, RoleChanges(c.engines, func(slugname.DataCentre, int) int { return c.decode }), c.want)
		_ = name
	}
	changing := []Engine{{Name: "1", DataCentre: "a", Role: d, Changing: true}, engine("2", p, true)}
	assert.DeepEqual(t, RoleChanges(changing, func(slugname.DataCentre, int) int { return 0 }), []RoleChange(nil))
}

// TestDecodeEngines guards against data centres with too few decode or prefill engines.
func TestDecodeEngines(t *testing.T) {
	type sizes = map[slugname.DataCentre]int
	three := []DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for name, c := range map[string]struct {
		s             Service
		engines, want sizes
	}{
		"one decode engine in each of three data centres": {Service{Slots: 64, DataCentres: three}, sizes{"a": 3, "b": 3, "c": 3}, sizes{"a": 1, "b": 1, "c": 1}},
		"another remains after the loss of one":           {Service{Slots: 64, DataCentres: three[:1]}, sizes{"a": 8}, sizes{"a": 2}},
		"slots for all responses":                         {Service{Slots: 40, PeakStreams: 240, DataCentres: three}, sizes{"a": 8, "b": 8, "c": 8}, sizes{"a": 5, "b": 4, "c": 4}},
		"few slots in each engine":                        {Service{Slots: 12, PeakStreams: 60, DataCentres: three}, sizes{"a": 12, "b": 13, "c": 13}, sizes{"a": 3, "b": 4, "c": 4}},
		"the minimum share of the engines":                {Service{Slots: 64, DataCentres: three}, sizes{"a": 12, "b": 12, "c": 12}, sizes{"a": 2, "b": 2, "c": 2}},
		"one prefill engine remains":                      {Service{Slots: 64, PeakStreams: 500, DataCentres: three}, sizes{"a": 2, "b": 1}, sizes{"a": 1, "b": 0}},
		// Two of three data centres lost half of their engines during a burst of prompts,
		// after a burst of responses.
		"prompts keep most engines of a reduced service": {Service{Slots: 64, PeakPrefillBusy: 11, PeakStreams: 200, Streams: 50, DataCentres: three}, sizes{"a": 6, "b": 3, "c": 3}, sizes{"a": 1, "b": 1, "c": 1}},
		"responses that have begun keep their slots":     {Service{Slots: 64, PeakPrefillBusy: 40, PeakStreams: 300, Streams: 300, DataCentres: three}, sizes{"a": 6, "b": 3, "c": 3}, sizes{"a": 3, "b": 2, "c": 2}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, c.s.DecodeEngines(c.engines), c.want) })
	}
}
