// Package capacity measures what one entry and one agent cost as the system
// grows, and fits a straight line to each cost.
//
// The measured daemon runs in this process and everything around it in a child
// process, so that their processor times can be measured separately. Each
// experiment is run at several sizes; a line is fitted through its points, and
// the extrapolation to the size expected in two years is printed apart from
// the measurement.
package capacity
