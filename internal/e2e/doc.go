// Package e2e tests whole controllers over loopback, against stand-ins of the
// state service, the cloud and the workers that keep to the protocols.
package e2e
