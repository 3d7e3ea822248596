#!/bin/sh
# The first labels, selectors and accounts: 12 drafting and 3 publication
# workers in three data centres. Set KUMQUATLUG_SERVER and
# KUMQUATLUG_OPERATOR_KEY first. It prints each account's key once.
set -eu

for zone in a b c; do
  for n in 1 2 3 4; do
    kumquatlug label "drafting-$zone$n" pool=drafting
  done
  kumquatlug label "publication-${zone}1" pool=publication
done

# Both parts of the work go to the same engines, so that the planner may change
# their roles. Classification and summaries are one kind: the planner of a group
# sees the demand of one kind.
kumquatlug selector set decree-prompts --kind decree --role prefill --match pool=drafting --deadline-ms 30000
kumquatlug selector set decree-outputs --kind decree --role decode --match pool=drafting --deadline-ms 30000

# Without --repeatable a call with an effect runs at most once.
kumquatlug selector set gazette --protocol service --kind gazette --match pool=publication --deadline-ms 10000

kumquatlug caller add portal --weight 4
kumquatlug caller add records --weight 2
kumquatlug caller add archive --weight 1 --tokens-per-second 20000 --concurrency 64

revision=$(kumquatlug get callers | sed -n 's/^revision //p')
kumquatlug wait "$revision"
