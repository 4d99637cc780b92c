// Package registry is the replicated state machine of the configuration: the
// objects that operators create, their aliases in several naming schemes, the
// change history, the results of commands, and the claims that make a
// non-idempotent call, called an order, run at most once.
//
// An entry is a process that accepts requests and sends them to engines. Several
// entries share each engine, and one of them owns it at a time.
//
// A [Machine] is deterministic: the same commands in the same order give the same
// results and the same snapshots. All replicas must therefore use the same
// [Config]. The machine reads the time only from the now_ms field of commands and
// ignores a value lower than an earlier one.
//
// # Usage
//
// A replica of the log (package ledger) applies marshaled [schema.Command] messages
// and gets marshaled [schema.CommandResult] messages:
//
//	m, err := registry.New(registry.Config{Schemes: []string{"catalog", "legacy", "site"}})
//	result := m.Apply(index, command)
//
// The RPC server reads through [Machine.Read], [Machine.History],
// [Machine.ConfigView] and [Machine.Lookup], which may be called while commands
// are applied. An entry builds a [View] from the configuration it received and
// updates it with later changes:
//
//	view, err := registry.NewView(config)
//	view, err = view.Update(changes)
//	id, account, ok := view.AccountByKey("secret")
//
// The result of a change is stored for [Config.ResultRetention], with two
// exceptions: a change that is refused before its content is examined (no command
// id, or an issue time that is missing, expired or ahead of the leader's clock),
// and a change whose command id was used before with other content.
package registry
