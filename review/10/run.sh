#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
exec sh "$(dirname "$0")/../standins-2/play.sh" fraction review/10
