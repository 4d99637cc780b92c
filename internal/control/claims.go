package control

import (
	"context"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// claims implements schema.Claims.
type claims struct{ *Server }

var _ schema.Claims = claims{}

// Claim requests the right to send an order, a call that must run at most once.
func (s claims) Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimResult, error) {
	return s.proposeClaim(ctx, &schema.Command{Body: &schema.Command_Claim{Claim: r}})
}

// Settle records the outcome of an order.
func (s claims) Settle(ctx context.Context, r *schema.SettleRequest) (*schema.ClaimResult, error) {
	return s.proposeClaim(ctx, &schema.Command{Body: &schema.Command_Settle{Settle: r}})
}

// Lookup returns the state of an order.
func (s claims) Lookup(ctx context.Context, r *schema.LookupRequest) (*schema.ClaimResult, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.Machine.Lookup(r.GetKey(), s.WallClock().UnixMilli()), nil
}

func (s claims) proposeClaim(ctx context.Context, cmd *schema.Command) (*schema.ClaimResult, error) {
	res, err := s.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if c := res.GetClaim(); c.GetState() != schema.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return c, nil
	}
	return nil, serving.NewError(serving.KindInvalid, res.GetClaim().GetMessage())
}
