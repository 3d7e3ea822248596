#!/bin/sh
# The first labels, selectors and accounts: 12 assistant and 3 booking workers
# in three data centres. Set KUMQUATLUG_SERVER and KUMQUATLUG_OPERATOR_KEY
# first. It prints each account's key once.
set -eu

for zone in a b c; do
  for n in 1 2 3 4; do
    kumquatlug label "assistant-$zone$n" pool=assistant
  done
  kumquatlug label "booking-${zone}1" pool=booking
done

# Both parts of the work go to the same engines, so that the planner may change
# their roles. Damage checks and chats are one kind: the planner of a group sees
# the demand of one kind.
kumquatlug selector set assistant-prompts --kind assistant --role prefill --match pool=assistant --deadline-ms 20000
kumquatlug selector set assistant-outputs --kind assistant --role decode --match pool=assistant --deadline-ms 20000

# Without --repeatable a call with an effect runs at most once.
kumquatlug selector set bookings --protocol service --kind bookings --match pool=booking --deadline-ms 10000

kumquatlug caller add counter --weight 4
kumquatlug caller add chat --weight 2
kumquatlug caller add reports --weight 1 --tokens-per-second 10000 --concurrency 32

revision=$(kumquatlug get callers | sed -n 's/^revision //p')
kumquatlug wait "$revision"
