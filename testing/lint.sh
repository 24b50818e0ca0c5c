#!/usr/bin/env bash
# Runs clang-tidy on the sources that have changed since it last found them clean.
#   testing/lint.sh BUILD_FOLDER
# A clean result is recorded outside the tree, under a hash of the preprocessed source, the text of the
# project's own files in it (comments may switch checks off), the settings and the tool's version; where
# there is no record the file is linted. Removing the folder FULMARLINK_LINT_RECORDS (default:
# ~/.cache/fulmarlink-lint) lints everything.
set -euo pipefail
cd "$(dirname "$0")/.."
export build=$1
export records=${FULMARLINK_LINT_RECORDS:-${HOME:-/tmp}/.cache/fulmarlink-lint}
mkdir -p "$records"
# clang 14 needs the macro to see libstdc++'s coroutine header.
export coroutines=-D__cpp_impl_coroutine=201902L
settings=$({ clang-tidy --version; cat .clang-tidy; } | sha256sum)
export settings

# Without line markers, so that a clone in another folder has the same text.
key_of() {
    local flags=(-std=c++20 -I. -isystem proto -DFULMARLINK_VERSION='""' -DFULMARLINK_SOURCE_DIR='""')
    local own
    own=$(g++ "${flags[@]}" -MM "$1" | tr -d '\\\\' | cut -d : -f 2-) || return 1
    { printf '%s\n%s\n' "$1" "$settings" && g++ "${flags[@]}" -E -P "$1" && cat $own; } | sha256sum | cut -d ' ' -f 1
}

lint_one() {
    local source=$1 key
    key=$(key_of "$source" 2>/dev/null) || key=
    if [ -n "$key" ] && [ -e "$records/$key" ]; then
        return 0
    fi
    clang-tidy -p "$build" --quiet --extra-arg="$coroutines" "$source" 2>/dev/null || return 1
    if [ -n "$key" ]; then
        touch "$records/$key"
    fi
}
export -f key_of
export -f lint_one

git ls-files '*.cpp' | grep -v _generated | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 bash -euo pipefail -c 'lint_one "$1"' lint
