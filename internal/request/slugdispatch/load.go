package slugdispatch

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// recordLoad records the load that a response of the chosen endpoint states, unless another
// endpoint responded.
func (d *dispatch) recordLoad(c *slugplacement.Choice, head ResponseHead) {
	if head.LoadUnreadable {
		d.cfg.Log.Emit(slugevent.LoadUnreadable, slugevent.Fields{"request": d.call.ID, "endpoint": c.Name, "service": d.service.Name})
	}
	if head.WrongEndpoint || head.Responder != "" && head.Responder != c.Name {
		return
	}
	c.RecordLoad(head.Load, time.Now())
}
