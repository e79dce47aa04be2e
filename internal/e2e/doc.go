// Package e2e contains end-to-end tests of whole controllers on loopback, with stand-ins for the
// state service, the cloud and the workers.
package e2e
