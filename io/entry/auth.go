package entry

import (
	"net/http"

	"sassafrasvalve/core/spec"
	"sassafrasvalve/platform"
)

// tenantOf returns the tenant whose API key a request has, empty if it has no known key. Only digests are compared, so the time of the
// look-up tells nothing about the keys.
func (v *view) tenantOf(r *http.Request) string {
	key := platform.APIKey(r)
	if key == "" {
		return ""
	}
	return v.keys[spec.DigestKey(key)]
}

// needsKey reports whether callers of a service need an API key: if any tenant has one, unless the service is public.
func (v *view) needsKey(svc spec.Service) bool { return len(v.keys) > 0 && !svc.Public }

// authenticate checks the API key of a request to a service that needs one, and sets the request's tenant to that of the key. It removes a
// known key from the request, so that neither a worker nor the record of a job gets it.
func (v *view) authenticate(r *http.Request, svc spec.Service) *refusal {
	if len(v.keys) == 0 {
		return nil
	}
	tenant := v.tenantOf(r)
	if tenant != "" {
		r.Header.Del(platform.HeaderAPIKey)
	}
	if !v.needsKey(svc) {
		return nil
	}
	if tenant == "" {
		return noKey()
	}
	if given, ok := r.Header[headerTenant]; ok && given[0] != tenant {
		return newRefusal(http.StatusForbidden, "key-tenant", "the API key belongs to another tenant than %q, which header %s names", given[0], headerTenant)
	}
	r.Header.Set(headerTenant, tenant) // workers and the records of jobs have the tenant from here
	return nil
}

// noKey refuses a request without a known API key.
func noKey() *refusal {
	ref := newRefusal(http.StatusUnauthorized, "no-key", "a known API key is needed: send one header %s with the scheme %s and the key",
		platform.HeaderAPIKey, platform.KeyScheme)
	ref.keyless = true
	return ref
}

// checkReader checks whether the caller may read the status of a job, which is empty for an unknown job. Without a key unknown jobs are
// refused as well, so that the answer does not tell whether a job exists.
// It returns false for a job of another tenant of the configuration, which the caller gets to see as unknown. The jobs of a tenant that the
// configuration no longer has may be read with any key.
func (s *Server) checkReader(r *http.Request, st JobStatus) (bool, *refusal) {
	v := s.view.Load()
	if v == nil || !v.needsKey(v.services[st.Service]) {
		return true, nil
	}
	if ref := s.checkLease(); ref != nil {
		return false, ref // the key may have been revoked
	}
	tenant := v.tenantOf(r)
	if tenant == "" {
		return false, noKey()
	}
	_, exists := v.tenants[st.Tenant]
	return tenant == st.Tenant || !exists, nil
}
