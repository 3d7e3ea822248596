package swing

import "math"

// summarize computes the delivered value from the outcome of all requests.
func (r *Result) summarize(requests []*request, intervals int) {
	offered, delivered := make([]float64, intervals), make([]float64, intervals)
	var offeredByKind, deliveredByKind [2]float64
	served := 0
	for _, request := range requests {
		if request.done {
			served++
		}
		interval := int(request.arrivesAt / intervalLength)
		kind := 0
		if request.stream {
			kind = 1
		}
		value := request.deliveredValue()
		offered[interval] += request.value
		delivered[interval] += value
		offeredByKind[kind] += request.value
		deliveredByKind[kind] += value
	}
	for i := range offered {
		r.ValueByInterval = append(r.ValueByInterval, ratio(delivered[i], offered[i]))
	}
	r.Served = ratio(float64(served), float64(len(requests)))
	r.Documents, r.Streams = ratio(deliveredByKind[0], offeredByKind[0]), ratio(deliveredByKind[1], offeredByKind[1])
	r.Value = ratio(deliveredByKind[0]+deliveredByKind[1], offeredByKind[0]+offeredByKind[1])
}

// deliveredValue returns the delivered value of a request.
func (r *request) deliveredValue() float64 {
	switch {
	case !r.done || r.firstOutputAt == 0:
		return 0
	case r.firstOutputAt-r.arrivesAt <= r.ttftTarget:
		return r.value
	}
	return r.lateValue
}

// ratio returns part/whole, or NaN if whole is zero.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}
