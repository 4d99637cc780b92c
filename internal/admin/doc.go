// Package admin implements `turmericdrum admin`, the operators' client of the
// control replicas. [Command] declares its arguments for go-arg: a main package adds
// it as a subcommand and calls [Command.Run].
//
// # Usage
//
//	turmericdrum admin --server 10.0.0.1:7100,10.0.1.1:7100 put data-centre leon-1 --region leon
//	turmericdrum admin put model drafter --version v1=0.9 --version v2=0.1 --min-warm 3
//	turmericdrum admin put account aguja --weight 2 --generate-key
//	turmericdrum admin take-out data-centre leon-1
//	turmericdrum admin alias move legacy model D7 drafter
//	turmericdrum admin --output json list engine
//
// Options of put that are not given keep their current value. A change is based on
// the revision that the command reads before it sends the change, unless
// --expected-revision gives one. If the outcome of a change is unknown, the error
// names the options with which the same change can be sent again without being
// applied twice.
//
// The environment variables TURMERICDRUM_SERVER and TURMERICDRUM_KEY can be set
// instead of --server and --key. A key in the environment does not appear in the
// process list.
package admin
