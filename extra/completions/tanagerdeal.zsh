#compdef tanagerdeal

autoload -U is-at-least

_tanagerdeal() {
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
'-h[Print help]' \
'--help[Print help]' \
'-V[Print version]' \
'--version[Print version]' \
":: :_tanagerdeal_commands" \
"*::: :->tanagerdeal" \
&& ret=0
    case $state in
    (tanagerdeal)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:tanagerdeal-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
'--config=[Settings file]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
'--config=[Settings file]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(settings)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(serve)
_arguments "${_arguments_options[@]}" : \
'--config=[Settings file]:FILE:_files' \
'--check[Only test the settings file and list its settings]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
':shell:(bash elvish fish powershell zsh)' \
&& ret=0
;;
(man)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_tanagerdeal__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:tanagerdeal-help-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(settings)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(serve)
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

(( $+functions[_tanagerdeal_commands] )) ||
_tanagerdeal_commands() {
    local commands; commands=(
'run:Serve clients' \
'check:Test a settings file' \
'settings:List all settings' \
'serve:Serve clients on a platform whose store carries all coordination' \
'completions:Print a shell completion' \
'man:Print the manual page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'tanagerdeal commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__check_commands] )) ||
_tanagerdeal__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal check commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__completions_commands] )) ||
_tanagerdeal__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal completions commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help_commands] )) ||
_tanagerdeal__subcmd__help_commands() {
    local commands; commands=(
'run:Serve clients' \
'check:Test a settings file' \
'settings:List all settings' \
'serve:Serve clients on a platform whose store carries all coordination' \
'completions:Print a shell completion' \
'man:Print the manual page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'tanagerdeal help commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__check_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help check commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__completions_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help completions commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__help_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help help commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__man_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help man commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__run_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help run commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__serve_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__serve_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help serve commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__help__subcmd__settings_commands] )) ||
_tanagerdeal__subcmd__help__subcmd__settings_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal help settings commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__man_commands] )) ||
_tanagerdeal__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal man commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__run_commands] )) ||
_tanagerdeal__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal run commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__serve_commands] )) ||
_tanagerdeal__subcmd__serve_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal serve commands' commands "$@"
}
(( $+functions[_tanagerdeal__subcmd__settings_commands] )) ||
_tanagerdeal__subcmd__settings_commands() {
    local commands; commands=()
    _describe -t commands 'tanagerdeal settings commands' commands "$@"
}

if [ "$funcstack[1]" = "_tanagerdeal" ]; then
    _tanagerdeal "$@"
else
    compdef _tanagerdeal tanagerdeal
fi
