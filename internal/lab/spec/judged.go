package spec

import (
	"time"

	"clovergap/internal/history"
)

// Judged is what checkers must know of a product.
func (p *Product) Judged() history.Product {
	return history.Product{Effect: p.Effect, Scope: p.Scope, Window: p.Window.D(), Work: p.Work.D().Seconds()}
}

// rateLimitDelay is for how long a plan's rate may be spent beyond its ceiling: the platform's allowance.
const rateLimitDelay = 150 * time.Millisecond

// RateLimitSlack is how many units beyond its ceiling a customer of a plan may use.
func (r *Rules) RateLimitSlack(p *Plan) float64 {
	return max(1, r.CeilingSlack*p.Ceiling*p.Burst) + p.Ceiling*p.Rate*rateLimitDelay.Seconds()
}
