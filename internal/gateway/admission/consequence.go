package admission

import "clovergap/control"

// consequence is what follows from the end of a submission.
type consequence struct {
	mayHaveRun bool // the request may have run
	arrived    bool // it may have reached the backend, and counts as an attempt
	retryable  bool // it may go to another backend, if attempts, time and budget last
	answer     finalAnswer
}

// finalAnswer is the answer to a request that goes nowhere else.
type finalAnswer int

const (
	clientHasIt finalAnswer = iota // the client has its answer, or what there is of it; or nobody waits any more
	rejected                       // it has not run and never will
	failed                         // it may have run
)

// consequenceKey names a row of the table.
type consequenceKey struct {
	ending    control.Ending
	effectful bool
	begun     bool // a part of an answer has gone to the client, or nobody waits any more
}

// consequences is the one place that says what follows from the end of a submission. What proves that the request never ran may go
// elsewhere, whatever it is. What may have run goes elsewhere only if it may run twice. Once a part of an answer has gone out there is no other
// answer: the host ends the connection, so that the answer does not look complete.
var consequences = map[consequenceKey]consequence{
	{control.Succeeded, false, false}:      {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Succeeded, true, false}:       {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Succeeded, false, true}:       {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Succeeded, true, true}:        {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Errored, false, false}:        {mayHaveRun: true, arrived: true, retryable: true, answer: failed},
	{control.Errored, true, false}:         {mayHaveRun: true, arrived: true, answer: failed},
	{control.Errored, false, true}:         {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Errored, true, true}:          {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Rejected, false, false}:       {arrived: true, retryable: true, answer: rejected},
	{control.Rejected, true, false}:        {arrived: true, retryable: true, answer: rejected},
	{control.Rejected, false, true}:        {arrived: true, answer: clientHasIt},
	{control.Rejected, true, true}:         {arrived: true, answer: clientHasIt},
	{control.TimedOut, false, false}:       {mayHaveRun: true, arrived: true, retryable: true, answer: failed},
	{control.TimedOut, true, false}:        {mayHaveRun: true, arrived: true, answer: failed},
	{control.TimedOut, false, true}:        {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.TimedOut, true, true}:         {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Unreachable, false, false}:    {retryable: true, answer: rejected},
	{control.Unreachable, true, false}:     {retryable: true, answer: rejected},
	{control.Unreachable, false, true}:     {answer: clientHasIt},
	{control.Unreachable, true, true}:      {answer: clientHasIt},
	{control.ConnectionLost, false, false}: {mayHaveRun: true, arrived: true, retryable: true, answer: failed},
	{control.ConnectionLost, true, false}:  {mayHaveRun: true, arrived: true, answer: failed},
	{control.ConnectionLost, false, true}:  {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.ConnectionLost, true, true}:   {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Canceled, false, false}:       {mayHaveRun: true, arrived: true, retryable: true, answer: failed},
	{control.Canceled, true, false}:        {mayHaveRun: true, arrived: true, answer: failed},
	{control.Canceled, false, true}:        {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.Canceled, true, true}:         {mayHaveRun: true, arrived: true, answer: clientHasIt},
	{control.NotSent, false, false}:        {retryable: true, answer: rejected},
	{control.NotSent, true, false}:         {retryable: true, answer: rejected},
	{control.NotSent, false, true}:         {answer: clientHasIt},
	{control.NotSent, true, true}:          {answer: clientHasIt},
}

// consequenceOf looks a row up. An ending that the table does not name is taken for the worst.
func consequenceOf(e control.Ending, effectful, begun bool) consequence {
	if row, ok := consequences[consequenceKey{e, effectful, begun}]; ok {
		return row
	}
	if begun {
		return consequence{mayHaveRun: true, arrived: true, answer: clientHasIt}
	}
	return consequence{mayHaveRun: true, arrived: true, answer: failed}
}
