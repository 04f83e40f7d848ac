#compdef tanagerctl

autoload -U is-at-least

_tanagerctl() {
    typeset -A opt_args
    typeset -a _arguments_options
    local ret=1

    if is-at-least 5.2; then
        _arguments_options=(-s -S -C)
    else
        _arguments_options=(-s -C)
    fi

    local context curcontext="$curcontext" state line
    _arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
'-V[Print version]' \
'--version[Print version]' \
":: :_tanagerctl_commands" \
"*::: :->tanagerctl" \
&& ret=0
    case $state in
    (tanagerctl)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:tanagerctl-command-$line[1]:"
        case $line[1] in
            (get)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':kind:(customer key route service configuration domain endpoint)' \
':name:_default' \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':kind:(customer key route service configuration domain endpoint)' \
&& ret=0
;;
(history)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':kind:(customer key route service configuration domain endpoint)' \
':name:_default' \
&& ret=0
;;
(audit)
_arguments "${_arguments_options[@]}" : \
'--limit=[Number of entries]: :_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(put)
_arguments "${_arguments_options[@]}" : \
'--file=[JSON object with fields, read before the fields given]:FILE:_default' \
'--expect=[Revision that the record must have, 0 for absent \[default\: the one just read\]]:REVISION:_default' \
'--change-id=[Identifies the change; repeat a change with the same id \[default\: random\]]:ID:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':kind:(customer key route service configuration domain endpoint)' \
':name:_default' \
'::field -- Field with its JSON value; a value that is not JSON is taken as text:_default' \
&& ret=0
;;
(withdraw)
_arguments "${_arguments_options[@]}" : \
'--expect=[Revision that the record must have, 0 for absent \[default\: the one just read\]]:REVISION:_default' \
'--change-id=[Identifies the change; repeat a change with the same id \[default\: random\]]:ID:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':kind:(customer key route service configuration domain endpoint)' \
':name:_default' \
&& ret=0
;;
(key)
_arguments "${_arguments_options[@]}" : \
'--expect=[Revision that the record must have, 0 for absent \[default\: the one just read\]]:REVISION:_default' \
'--change-id=[Identifies the change; repeat a change with the same id \[default\: random\]]:ID:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':customer:_default' \
':name:_default' \
&& ret=0
;;
(domain)
_arguments "${_arguments_options[@]}" : \
'--expect=[Revision that the record must have, 0 for absent \[default\: the one just read\]]:REVISION:_default' \
'--change-id=[Identifies the change; repeat a change with the same id \[default\: random\]]:ID:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':name:_default' \
':state:(in out)' \
&& ret=0
;;
(endpoint)
_arguments "${_arguments_options[@]}" : \
'--expect=[Revision that the record must have, 0 for absent \[default\: the one just read\]]:REVISION:_default' \
'--change-id=[Identifies the change; repeat a change with the same id \[default\: random\]]:ID:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':name:_default' \
':state:(serving leaving)' \
&& ret=0
;;
(move-primary)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':group:_default' \
&& ret=0
;;
(story)
_arguments "${_arguments_options[@]}" : \
'--request=[]:ID:_default' \
'--around-ms=[Time around the request in which changes of its group and host are shown]:MS:_default' \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
'*::file -- Log files, one of each host:_files' \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
':shell:(bash elvish fish powershell zsh)' \
&& ret=0
;;
(man)
_arguments "${_arguments_options[@]}" : \
'--platform=[Address of the platform \[env\: TANAGERDEAL_PLATFORM\]]:IP:PORT:_default' \
'--config=[INI file with section \[platform\], key address]:FILE:_default' \
'--actor=[Who makes a change, for the audit trail \[default\: \$USER\]]:NAME:_default' \
'--wait-ms=[How long to wait until a change is in effect, and for lost responses]:MS:_default' \
'--json[Print JSON instead of text]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_tanagerctl__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:tanagerctl-help-command-$line[1]:"
        case $line[1] in
            (get)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(history)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(audit)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(put)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(withdraw)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(key)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(domain)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(endpoint)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(move-primary)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(story)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(man)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
}

(( $+functions[_tanagerctl_commands] )) ||
_tanagerctl_commands() {
    local commands; commands=(
'get:Prints one record with its revision' \
'list:Lists the records of a kind' \
'history:Prints the changes of one record, oldest first' \
'audit:Prints the audit trail, newest last' \
'status:Prints the state of hosts, groups and limits' \
'put:Creates or changes a record; fields that are not given are kept' \
'withdraw:Removes a record' \
'key:Creates a key for a customer and prints it once' \
'domain:Takes a failure domain out of service, or back in' \
'endpoint:Makes an endpoint leave, or serve again' \
'move-primary:Moves the primary of a group away from its present endpoint' \
'story:Prints what log files tell of a request, over all hosts in order of time' \
'completions:Prints a completion script' \
'man:Prints the man page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'tanagerctl commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__audit_commands] )) ||
_tanagerctl__subcmd__audit_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl audit commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__completions_commands] )) ||
_tanagerctl__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl completions commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__domain_commands] )) ||
_tanagerctl__subcmd__domain_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl domain commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__endpoint_commands] )) ||
_tanagerctl__subcmd__endpoint_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl endpoint commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__get_commands] )) ||
_tanagerctl__subcmd__get_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl get commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help_commands] )) ||
_tanagerctl__subcmd__help_commands() {
    local commands; commands=(
'get:Prints one record with its revision' \
'list:Lists the records of a kind' \
'history:Prints the changes of one record, oldest first' \
'audit:Prints the audit trail, newest last' \
'status:Prints the state of hosts, groups and limits' \
'put:Creates or changes a record; fields that are not given are kept' \
'withdraw:Removes a record' \
'key:Creates a key for a customer and prints it once' \
'domain:Takes a failure domain out of service, or back in' \
'endpoint:Makes an endpoint leave, or serve again' \
'move-primary:Moves the primary of a group away from its present endpoint' \
'story:Prints what log files tell of a request, over all hosts in order of time' \
'completions:Prints a completion script' \
'man:Prints the man page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'tanagerctl help commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__audit_commands] )) ||
_tanagerctl__subcmd__help__subcmd__audit_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help audit commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__completions_commands] )) ||
_tanagerctl__subcmd__help__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help completions commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__domain_commands] )) ||
_tanagerctl__subcmd__help__subcmd__domain_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help domain commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__endpoint_commands] )) ||
_tanagerctl__subcmd__help__subcmd__endpoint_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help endpoint commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__get_commands] )) ||
_tanagerctl__subcmd__help__subcmd__get_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help get commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__help_commands] )) ||
_tanagerctl__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help help commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__history_commands] )) ||
_tanagerctl__subcmd__help__subcmd__history_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help history commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__key_commands] )) ||
_tanagerctl__subcmd__help__subcmd__key_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help key commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__list_commands] )) ||
_tanagerctl__subcmd__help__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help list commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__man_commands] )) ||
_tanagerctl__subcmd__help__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help man commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__move-primary_commands] )) ||
_tanagerctl__subcmd__help__subcmd__move-primary_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help move-primary commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__put_commands] )) ||
_tanagerctl__subcmd__help__subcmd__put_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help put commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__status_commands] )) ||
_tanagerctl__subcmd__help__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help status commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__story_commands] )) ||
_tanagerctl__subcmd__help__subcmd__story_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help story commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__help__subcmd__withdraw_commands] )) ||
_tanagerctl__subcmd__help__subcmd__withdraw_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl help withdraw commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__history_commands] )) ||
_tanagerctl__subcmd__history_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl history commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__key_commands] )) ||
_tanagerctl__subcmd__key_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl key commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__list_commands] )) ||
_tanagerctl__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl list commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__man_commands] )) ||
_tanagerctl__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl man commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__move-primary_commands] )) ||
_tanagerctl__subcmd__move-primary_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl move-primary commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__put_commands] )) ||
_tanagerctl__subcmd__put_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl put commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__status_commands] )) ||
_tanagerctl__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl status commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__story_commands] )) ||
_tanagerctl__subcmd__story_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl story commands' commands "$@"
}
(( $+functions[_tanagerctl__subcmd__withdraw_commands] )) ||
_tanagerctl__subcmd__withdraw_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerctl withdraw commands' commands "$@"
}

if [ "$funcstack[1]" = "_tanagerctl" ]; then
    _tanagerctl "$@"
else
    compdef _tanagerctl tanagerctl
fi
