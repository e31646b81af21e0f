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

func place(name slugname.DataCentre, regular, cheap int) DataCentre {
	return DataCentre{Name: name, Initial: 6, Regular: regular, Cheap: cheap, OrderedRegular: -1, OrderedCheap: -1}
}

func service(d ...DataCentre) Service {
	return Service{Min: 1, Max: 12, HasCheap: true, DataCentres: d}
}

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

func TestOrders(t *testing.T) {
	ordered := place("a", 6, 5)
	ordered.OrderedCheap = 6
	settled := place("a", 1, 11)
	settled.OrderedCheap, settled.OrderedRegular = 11, 1
	missing := settled
	missing.Cheap, missing.Missing = 5, true
	leaving := place("a", 1, 6)
	leaving.OrderedCheap, leaving.OrderedRegular = 6, 1
	dry := place("a", 1, 0)
	dry.OrderedRegular, dry.OrderedCheap, dry.Dry = 1, 8, now.Add(-time.Second)
	// The trouble of a day on which the store was away while engines were reclaimed: a
	// successor saw few of them and was refused more.
	seen := place("a", 6, 8)
	seen.OrderedRegular, seen.OrderedCheap = 6, 12
	refused := place("a", 0, 8)
	refused.OrderedRegular, refused.OrderedCheap, refused.Dry = 0, 12, now.Add(-time.Second)
	again := seen
	again.Missing = true
	open := place("a", 0, 12)
	open.OrderedRegular, open.OrderedCheap, open.OpenCheap = 0, 12, true
	stayed := place("a", 6, 11)
	stayed.OrderedRegular, stayed.OrderedCheap, stayed.Extra = 1, 11, true
	for name, c := range map[string]struct {
		s    Service
		want string
	}{
		"engines that serve are not given up for room":               {service(seen, place("b", 0, 0)), "b 6 cheap; a 0 regular; "},
		"those that are missing are ordered as far as there is room": {service(again, place("b", 0, 0)), "a 8 cheap; b 6 cheap; a 0 regular; "},
		"regular ones fill only what is missing":                     {service(refused, place("b", 0, 0)), "a 4 regular; b 6 cheap; "},
		"an order without an answer is made again as it was":         {service(open, place("b", 0, 0)), "a 12 cheap; b 6 cheap; "},
		"regular ones that did not leave are given up once more":     {service(stayed), "a 1 regular; "},
		"before traffic, cheap engines come first":                   {service(place("a", 6, 0)), "a 6 cheap; "},
		"regular ones go once cheap ones serve":                      {service(ordered), "a 1 regular; "},
		"the rest comes once there is room for it":                   {service(leaving), "a 11 cheap; "},
		"engines that did not come are ordered again, all of them":   {service(missing), "a 11 cheap; "},
		"before any engine has registered":                           {service(place("a", 0, 0)), "a 6 cheap; "},
		"nothing is ordered twice":                                   {service(settled), ""},
		"reclaimed and none to be had: regular ones take over":       {service(dry), "a 6 regular; "},
		"without cheap engines nothing is given up":                  {Service{Min: 1, Max: 12, DataCentres: []DataCentre{place("a", 6, 0)}}, ""},
	} {
		assert.Equal(t, describe(Orders(c.s, now)), c.want, name)
	}
}

func TestRoles(t *testing.T) {
	engine := func(name slugname.Endpoint, r slugplan.Role, cheap bool) Engine {
		return Engine{Name: name, DataCentre: "a", Role: r, Cheap: cheap}
	}
	const p, d = slugplan.RolePrefill, slugplan.RoleDecode
	for name, c := range map[string]struct {
		engines []Engine
		decode  int
		want    []Change
	}{
		"cheap engines leave decoding first":    {[]Engine{engine("1", d, false), engine("2", d, true), engine("3", d, true)}, 1, []Change{{"2", p}, {"3", p}}},
		"regular engines take decoding first":   {[]Engine{engine("1", p, true), engine("2", p, false)}, 1, []Change{{"2", d}}},
		"nothing changes when the number holds": {[]Engine{engine("1", p, false), engine("2", d, true)}, 1, nil},
	} {
		assert.DeepEqual(t, Roles(c.engines, func(slugname.DataCentre, int) int { return c.decode }), c.want)
		_ = name
	}
	changing := []Engine{{Name: "1", DataCentre: "a", Role: d, Changing: true}, engine("2", p, true)}
	assert.DeepEqual(t, Roles(changing, func(slugname.DataCentre, int) int { return 0 }), []Change(nil))
}

func TestDecodeEngines(t *testing.T) {
	assert.Equal(t, DecodeEngines(8, 0, 3), 1, "one in each of three data centres")
	assert.Equal(t, DecodeEngines(8, 0, 1), 2, "the loss of one leaves others")
	assert.Equal(t, DecodeEngines(8, 240, 3), 5)
	assert.Equal(t, DecodeEngines(12, 0, 3), 2, "a part of the engines")
	assert.Equal(t, DecodeEngines(2, 0, 3), 1)
	assert.Equal(t, DecodeEngines(1, 500, 3), 0)
}
