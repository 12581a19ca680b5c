package frontend

import (
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
)

// identity has what is equal for equal requests.
type identity struct {
	request fingerprint.Fingerprint
	// content leaves out what a request to a model has besides its content: the adapter, and the parts of the prompt but for the last one, which is
	// specific to the request or its session. It is zero for requests without a model.
	content fingerprint.Fingerprint
}

// fingerprints returns both fingerprints; no request is under suspicion under the zero one.
func (i identity) fingerprints() [2]fingerprint.Fingerprint {
	return [2]fingerprint.Fingerprint{i.request, i.content}
}

// identify returns the identity of a request, which takes some microseconds for a long body.
func (x *request) identify() identity {
	if x.identity != nil {
		return *x.identity
	}
	i := identity{request: fingerprint.Of(x.method, x.host, x.target, x.call.Caller, x.body)}
	if x.call.Model != "" {
		fields := []string{string(x.call.Model), string(x.call.Adapter)}
		for _, p := range x.call.SharedParts() {
			fields = append(fields, p.ID.String())
		}
		i.content = i.request
		i.request = i.content.With(fields...)
	}
	x.identity = &i
	return i
}

// loadFingerprint returns the fingerprint of the load of an adapter. No request has it, since no request has this method.
func loadFingerprint(av ident.AdapterVersion) fingerprint.Fingerprint {
	return fingerprint.Of("load adapter", "", av.String(), "", nil)
}
