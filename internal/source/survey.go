package source

import "time"

const (
	// surveyInterval is the mean time between two surveys that find no instance.
	surveyInterval = 500 * time.Millisecond
	// maxSurveys bounds the surveys of a process that find no instance, as in a
	// fleet that starts for the first time.
	maxSurveys = 6
)

// FirstCall returns the first call of a process: a survey, since the whole list and
// the configuration cost a call to the store and a transfer for each proxy of a
// fleet that starts.
func (f *Follower) FirstCall(now time.Time) Call {
	return Call{At: now, Survey: true}
}

// HandleSurvey handles the result of a survey and returns the next call. A survey may
// be seconds old, and an instance that it lists may have left since: it only tells
// which proxies to ask. In a large fleet these are the readers; otherwise, or if the
// store may be a restored copy, the store is listed.
func (f *Follower) HandleSurvey(now time.Time, l Listing) Call {
	f.surveys++
	if len(l.Instances) == 0 && f.surveys < maxSurveys {
		return Call{At: now.Add(surveyInterval/2 + time.Duration(f.rng.Int64N(int64(surveyInterval)))), Survey: true}
	}
	list := Call{At: now, List: true}
	if f.listed || l.Era >= 2 {
		return list
	}
	for _, e := range inEra(l.Instances, l.Era) {
		if e.Instance != nil {
			f.putEntry(e)
		}
	}
	f.updateHolders()
	if !f.isLargeFleet() {
		clear(f.known)
		clear(f.superseded)
		return list
	}
	return f.nextCall(now)
}
