package admission

import "clovergap/control"

// end is what follows from how a submission ended.
type end struct {
	ran       bool // it may have run
	arrived   bool // it may have reached the backend, and counts against the budget of further tries
	elsewhere bool // it may go to another backend, if tries, time and budget last
	answer    final
}

// final is the answer to a request that goes nowhere else.
type final int

const (
	given    final = iota // the client has its answer, or what there is of it; or nobody waits any more
	declined              // it has not run and never will
	voided                // it may have run
)

// key names a row of the table of ends.
type key struct {
	how       control.Ending
	effectful bool
	begun     bool // part of an answer has gone to the client, or nobody waits any more
}

// ends is the one place that says what follows from the end of a submission. What proves that it never ran
// may go elsewhere, whatever it is. What may have run goes elsewhere only if it may run twice. Once part of
// an answer has gone out there is no other answer: the host ends the connection, so that it does not look
// whole.
var ends = map[key]end{
	{control.Settled, false, false}:     {ran: true, arrived: true, answer: given},
	{control.Settled, true, false}:      {ran: true, arrived: true, answer: given},
	{control.Settled, false, true}:      {ran: true, arrived: true, answer: given},
	{control.Settled, true, true}:       {ran: true, arrived: true, answer: given},
	{control.Errored, false, false}:     {ran: true, arrived: true, elsewhere: true, answer: voided},
	{control.Errored, true, false}:      {ran: true, arrived: true, answer: voided},
	{control.Errored, false, true}:      {ran: true, arrived: true, answer: given},
	{control.Errored, true, true}:       {ran: true, arrived: true, answer: given},
	{control.Full, false, false}:        {arrived: true, elsewhere: true, answer: declined},
	{control.Full, true, false}:         {arrived: true, elsewhere: true, answer: declined},
	{control.Full, false, true}:         {arrived: true, answer: given},
	{control.Full, true, true}:          {arrived: true, answer: given},
	{control.TimedOut, false, false}:    {ran: true, arrived: true, elsewhere: true, answer: voided},
	{control.TimedOut, true, false}:     {ran: true, arrived: true, answer: voided},
	{control.TimedOut, false, true}:     {ran: true, arrived: true, answer: given},
	{control.TimedOut, true, true}:      {ran: true, arrived: true, answer: given},
	{control.Unreachable, false, false}: {elsewhere: true, answer: declined},
	{control.Unreachable, true, false}:  {elsewhere: true, answer: declined},
	{control.Unreachable, false, true}:  {answer: given},
	{control.Unreachable, true, true}:   {answer: given},
	{control.Broken, false, false}:      {ran: true, arrived: true, elsewhere: true, answer: voided},
	{control.Broken, true, false}:       {ran: true, arrived: true, answer: voided},
	{control.Broken, false, true}:       {ran: true, arrived: true, answer: given},
	{control.Broken, true, true}:        {ran: true, arrived: true, answer: given},
	{control.CalledOff, false, false}:   {ran: true, arrived: true, elsewhere: true, answer: voided},
	{control.CalledOff, true, false}:    {ran: true, arrived: true, answer: voided},
	{control.CalledOff, false, true}:    {ran: true, arrived: true, answer: given},
	{control.CalledOff, true, true}:     {ran: true, arrived: true, answer: given},
	{control.NotSent, false, false}:     {elsewhere: true, answer: declined},
	{control.NotSent, true, false}:      {elsewhere: true, answer: declined},
	{control.NotSent, false, true}:      {answer: given},
	{control.NotSent, true, true}:       {answer: given},
}

// after looks a row up. An ending that the table does not name is taken for the worst.
func after(how control.Ending, effectful, begun bool) end {
	if e, ok := ends[key{how, effectful, begun}]; ok {
		return e
	}
	if begun {
		return end{ran: true, arrived: true, answer: given}
	}
	return end{ran: true, arrived: true, answer: voided}
}
