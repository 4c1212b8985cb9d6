Feature: An operator decides what is served
  Operators publish release notes and take availability zones and instances out and
  in. What they decide is in force everywhere, whole or not at all.

  Background:
    Given the swimhole fleet is running

  Scenario: An availability zone that is out gets no new work
    When the operator runs "zone out ozark"
    And 20 questions are asked of "guide"
    Then no endpoint in "ozark" has answered
    When the operator runs "zone in ozark"
    Then the command has ended with SUCCESS

  Scenario: Another version answers while every zone of the cheap one is out
    When the operator runs "zone out ozark"
    And the operator runs "zone out cumberland"
    And 10 questions are asked of "guide"
    Then only "guide-large@1" has answered

  Scenario: An instance that is out gets no new work
    When the operator runs "instance out bookings-1"
    And 8 shuttles are booked
    Then "bookings-1" has not answered
    And 8 bookings have taken effect

  Scenario: A withdrawn version gets no new work
    When the operator publishes
      """
      note: withdraw-small
      withdrawn:
        versions: [guide-small@1]
      """
    And 10 questions are asked of "guide"
    Then only "guide-large@1" has answered
    When "current-river-guides" asks "guide-small@1" a question
    Then the request is refused as "version_withdrawn" and has not run

  Scenario: A calling team is approved, and later withdrawn
    When the operator publishes
      """
      note: approve-flint-river
      added:
        organisations:
          - name: flint-river-guides
            token_sha256: [9f503872a2e559d44250fbdf377c7ebd35d990e2fc5a72da8cc55d55ef786915]
            allowed: {guide-small: ["*"]}
      """
    And "flint-river-guides" asks "guide" a question
    Then "guide-small@1" has answered
    When the operator publishes
      """
      note: withdraw-flint-river
      withdrawn:
        organisations: [flint-river-guides]
      """
    And "flint-river-guides" asks "guide" a question
    Then the request is refused as "bad_token" and has not run

  Scenario: Of two operators who publish on one release, one is told that he lost
    When the operator publishes
      """
      note: hers
      based_on: 0
      changed:
        apis:
          - {name: guide, kind: model, quality_target: 0.7}
      """
    Then the command has ended with SUCCESS
    When the operator publishes
      """
      note: his
      based_on: 0
      withdrawn:
        versions: [guide-large@1]
      """
    Then the command has ended with RACE_LOST
    And it said "hers was first"
    When "ozark-float-outfitters" asks "guide-large@1" a question
    Then "guide-large@1" has answered

  Scenario: A release note with faults changes nothing
    When the operator publishes
      """
      note: faulty
      withdrawn:
        versions: [guide-small@1, guide-smal@1]
      """
    Then the command has ended with INVALID_NOTE
    And it said "line 3: withdrawn.versions[1]: guide-smal@1 is unknown"
    When "current-river-guides" asks "guide-small@1" a question
    Then "guide-small@1" has answered

  Scenario: The fleet is shown in a table
    When the operator runs "status"
    Then it said "guide-1"
    And it said "ready"
    And the command has ended with SUCCESS
