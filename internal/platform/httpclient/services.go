package httpclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	instancesPath = "/v1/instances"
	ratingsPath   = "/v1/ratings"
	weightsPath   = "/v1/weights/"
)

// get makes a GET request and decodes its JSON reply into message. Any status but 200 is an error.
func (c *Client) get(ctx context.Context, call call, message any) error {
	call.method = http.MethodGet
	reply, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if reply.status != http.StatusOK {
		return call.statusError(reply.status)
	}
	return call.decode(reply, message)
}

type ratingService struct{ client *Client }

// Submit implements platform.Ratings. Errors: ErrUnavailable, ErrAmbiguous.
func (r ratingService) Submit(ctx context.Context, request api.RatingRequest) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode rating request")
	}
	call := call{operation: "submit rating", method: http.MethodPost, path: ratingsPath, body: body, jsonBody: true, isWrite: true}
	reply, err := r.client.do(ctx, call)
	if err != nil {
		return err
	}
	if reply.status != http.StatusAccepted {
		return call.statusError(reply.status)
	}
	return nil
}

// Results implements platform.Ratings. Error: ErrUnavailable.
func (r ratingService) Results(ctx context.Context, instance, cursor string) (api.RatingResults, error) {
	query := url.Values{"instance": {instance}, "after": {cursor}}
	var results api.RatingResults
	err := r.client.get(ctx, call{operation: "list ratings", path: ratingsPath, query: query}, &results)
	return results, err
}

type weightStore struct{ client *Client }

// RequestGrant implements platform.Weights. If the rate limit is reached, it returns a grant of 0 bytes with the
// time to wait, not an error.
// Errors: ErrUnavailable, ErrAmbiguous.
func (w weightStore) RequestGrant(ctx context.Context, model, version string) (api.WeightGrant, error) {
	path := weightsPath + url.PathEscape(model) + "/" + url.PathEscape(version)
	call := call{operation: "request weights", method: http.MethodPost, path: path, isWrite: true}
	reply, err := w.client.do(ctx, call)
	if err != nil {
		return api.WeightGrant{}, err
	}
	if reply.status != http.StatusOK && reply.status != http.StatusTooManyRequests {
		return api.WeightGrant{}, call.statusError(reply.status)
	}
	var grant api.WeightGrant
	err = call.decode(reply, &grant)
	return grant, err
}
