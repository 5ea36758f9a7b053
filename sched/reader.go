package sched

// BufferedBytes returns how many bytes of a request's answer are collected until it is whole.
func (s *Scheduler) BufferedBytes(request string) int {
	if r := s.requests[request]; r != nil {
		return r.bufferSize
	}
	return 0
}

// ReaderWaited says that the server may have waited for the caller of a request since its last event. The time until the
// next event then says nothing about the server.
func (s *Scheduler) ReaderWaited(request string) {
	if r := s.requests[request]; r != nil {
		r.readerWaited = true
	}
}
