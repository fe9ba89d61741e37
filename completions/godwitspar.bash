# bash completion of godwitspar and its daemons
_godwitspar() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]} words
  case $previous in
    show) words='jobs tasks teams workers backends entries config counters' ;;
    drain | undrain) words='backend entry' ;;
    order) words='by' ;;
    if) words='version' ;;
    submit | explain | zones | -f | --file | -c | --config)
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
      return
      ;;
    *)
      case ${COMP_WORDS[0]##*/} in
        godwitspar) words='show set unset drain undrain submit cancel timeline explain zones help
          --entry --file --json --chrome --timeout --version --help' ;;
        *) words='--config --check --print-sample --print-counters --version --help' ;;
      esac
      ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _godwitspar godwitspar godwitspar-entry godwitspar-agent \
  godwitspar-platform-entry godwitspar-platform-agent
