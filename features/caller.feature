Feature: A caller is answered by what its organisation may reach
  A calling team sends requests to an entry and gets the whole answer to each, or a
  refusal that says truly whether the request has run.

  Background:
    Given the swimhole fleet is running

  Scenario: A question is answered whole by an allowed version
    When "current-river-guides" asks "guide" a question
    Then the answer is whole and its own
    And a version of "guide" has answered

  Scenario: A streamed answer comes to its end
    When "ozark-float-outfitters" asks "guide" a question and streams the answer
    Then the stream ends as a whole one does

  Scenario: A caller without a token is refused and nothing has run
    When a stranger asks "guide" a question
    Then the request is refused as "bad_token" and has not run

  Scenario: A team that was not approved for the dear model cannot name it
    When "caney-fork-outfitters" asks "guide-large@1" a question
    Then the request is refused as "not_allowed" and has not run

  Scenario: A team without the dear model is still served by the cheap one
    When "caney-fork-outfitters" asks "guide" a question
    Then "guide-small@1" has answered

  Scenario: A shuttle cannot be booked without an idempotency key
    When "broad-river-guides" books shuttle "s-1" without a key
    Then the request is refused as "key_required" and has not run
    And shuttle "s-1" is booked 0 times

  Scenario: A shuttle that is booked once takes effect once
    When "broad-river-guides" books shuttle "s-2" with key "k-2"
    Then shuttle "s-2" is booked 1 times

  Scenario: A booking that is sent again through another entry runs once
    When "broad-river-guides" books shuttle "s-3" with key "k-3"
    And "broad-river-guides" books shuttle "s-3" with key "k-3" through another entry
    Then both answers are the same
    And shuttle "s-3" is booked 1 times

  Scenario: A key that was used for one booking is refused for another
    When "broad-river-guides" books shuttle "s-4" with key "k-4"
    And "broad-river-guides" books shuttle "s-5" with key "k-4"
    Then the request is refused as "key_reused" and has not run
    And shuttle "s-5" is booked 0 times
