package admission

import "clovergap/control"

// consequence says how a request proceeds after the end of a submission.
type consequence struct {
	mayHaveRun     bool        // the request may have run
	mayHaveArrived bool        // the request may have reached the backend, so the submission counts as an attempt
	retryable      bool        // the request may go to another backend, if its attempts, its deadline and the retry budget allow
	answer         finalAnswer // the answer if the request does not go to another backend
}

// finalAnswer is the answer to a request that is not sent again.
type finalAnswer int

const (
	noFurtherAnswer finalAnswer = iota // the client has its answer or a part of it, or has left
	answerReject                       // the request has not run and never will
	answerFail                         // the request may have run
)

// consequenceKey identifies a row of the consequences table.
type consequenceKey struct {
	ending        control.Ending
	effectful     bool
	answerStarted bool // a part of an answer has gone to the client, or the client has left
}

// consequences alone determines how a request proceeds after the end of a submission. A request that certainly did not run may go to another
// backend, whether the request is effectful or idempotent. A request that may have run goes to another backend only if it is idempotent. Once a
// part of an answer has gone to the client, the client gets no other answer. The host then closes the client's connection, so that the partial
// answer does not look complete.
var consequences = map[consequenceKey]consequence{
	{control.Succeeded, false, false}:      {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Succeeded, true, false}:       {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Succeeded, false, true}:       {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Succeeded, true, true}:        {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Errored, false, false}:        {mayHaveRun: true, mayHaveArrived: true, retryable: true, answer: answerFail},
	{control.Errored, true, false}:         {mayHaveRun: true, mayHaveArrived: true, answer: answerFail},
	{control.Errored, false, true}:         {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Errored, true, true}:          {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Rejected, false, false}:       {mayHaveArrived: true, retryable: true, answer: answerReject},
	{control.Rejected, true, false}:        {mayHaveArrived: true, retryable: true, answer: answerReject},
	{control.Rejected, false, true}:        {mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Rejected, true, true}:         {mayHaveArrived: true, answer: noFurtherAnswer},
	{control.TimedOut, false, false}:       {mayHaveRun: true, mayHaveArrived: true, retryable: true, answer: answerFail},
	{control.TimedOut, true, false}:        {mayHaveRun: true, mayHaveArrived: true, answer: answerFail},
	{control.TimedOut, false, true}:        {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.TimedOut, true, true}:         {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Unreachable, false, false}:    {retryable: true, answer: answerReject},
	{control.Unreachable, true, false}:     {retryable: true, answer: answerReject},
	{control.Unreachable, false, true}:     {answer: noFurtherAnswer},
	{control.Unreachable, true, true}:      {answer: noFurtherAnswer},
	{control.ConnectionLost, false, false}: {mayHaveRun: true, mayHaveArrived: true, retryable: true, answer: answerFail},
	{control.ConnectionLost, true, false}:  {mayHaveRun: true, mayHaveArrived: true, answer: answerFail},
	{control.ConnectionLost, false, true}:  {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.ConnectionLost, true, true}:   {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Canceled, false, false}:       {mayHaveRun: true, mayHaveArrived: true, retryable: true, answer: answerFail},
	{control.Canceled, true, false}:        {mayHaveRun: true, mayHaveArrived: true, answer: answerFail},
	{control.Canceled, false, true}:        {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.Canceled, true, true}:         {mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer},
	{control.NotSent, false, false}:        {retryable: true, answer: answerReject},
	{control.NotSent, true, false}:         {retryable: true, answer: answerReject},
	{control.NotSent, false, true}:         {answer: noFurtherAnswer},
	{control.NotSent, true, true}:          {answer: noFurtherAnswer},
}

// consequenceOf returns the row of the consequences table for an ending. If the table has no row for the ending, consequenceOf assumes the worst case,
// which is that the request may have run.
func consequenceOf(ending control.Ending, effectful, answerStarted bool) consequence {
	if row, ok := consequences[consequenceKey{ending, effectful, answerStarted}]; ok {
		return row
	}
	if answerStarted {
		return consequence{mayHaveRun: true, mayHaveArrived: true, answer: noFurtherAnswer}
	}
	return consequence{mayHaveRun: true, mayHaveArrived: true, answer: answerFail}
}
