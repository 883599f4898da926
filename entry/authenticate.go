package entry

import (
	"net/http"
	"time"

	"chicorytray.example/chicorytray/config"
)

// authenticate sets the account to which the caller's token belongs, the
// template that the submission names, and the deadline. The template must belong
// to the account.
func (e *Entry) authenticate(s *submission) error {
	v, account, err := e.accountByToken(s.token)
	if err != nil {
		return err
	}
	s.view, s.account = v, account
	t, ok := v.Template(s.request.Template)
	if ok && t.Kind == config.KindLeased && s.kind == config.KindJob {
		s.kind = config.KindLeased // both kinds are submitted with POST /v1/jobs
	}
	if !ok || t.Account != account.Name || t.Kind != s.kind {
		return notRun(http.StatusNotFound, reasonTemplateNotFound, "account %s has no template %q of kind %s",
			account.Name, s.request.Template, s.kind)
	}
	s.template = t
	s.deadline = effectiveDeadline(s, e.settings.Limits.MaxDeadline.AsDuration())
	if s.kind == config.KindLeased {
		s.expected = cappedMilliseconds(s.request.ExpectedMS, s.deadline)
	}
	return nil
}

// accountByToken returns the account to which the bearer token belongs and the
// configuration in force. The error is a *problem.
func (e *Entry) accountByToken(token string) (*config.View, *config.Account, error) {
	v := e.config.view()
	if v == nil {
		return nil, nil, retryLater(time.Second, reasonNoConfiguration, "this entry has no configuration yet")
	}
	account, ok := v.Account(config.HashToken(token))
	if token == "" || !ok {
		return nil, nil, notRun(http.StatusUnauthorized, reasonTokenRejected, "the bearer token is missing or not known")
	}
	return v, account, nil
}

// effectiveDeadline returns the shortest of the limit longest, the template's
// deadline and the caller's deadline. It counts from the arrival.
func effectiveDeadline(s *submission, longest time.Duration) time.Duration {
	d := longest
	if ms := s.template.DeadlineMS; ms > 0 {
		d = cappedMilliseconds(ms, d)
	}
	if ms := s.request.DeadlineMS; ms > 0 {
		d = cappedMilliseconds(ms, d)
	}
	return d
}

// cappedMilliseconds converts a number of milliseconds to a duration of at most
// the given one, because a large number from a request could overflow.
func cappedMilliseconds(ms int64, longest time.Duration) time.Duration {
	return time.Duration(min(ms, longest.Milliseconds())) * time.Millisecond
}
