Feature: The command line reports its result by its exit code
  Scripts must be able to distinguish a refusal, a conflict and an unreachable deployment.

  Scenario: Plan, apply, keys, drain, status
    Given a running deployment
    And a declaration of what is in force
    Then "status" exits with OK
    And "get" exits with OK
    And "plan -f FILE" exits with OK
    And "apply -f FILE --wait" exits with OK
    And "apply -f FILE" leaves the revision as it is
    And "keys add loom-hall --wait" exits with OK
    And "keys list loom-hall" exits with OK
    And "drain target/engine-4 --wait" exits with OK
    And "undrain target/engine-4 --wait" exits with OK
    And "keys add nobody" exits with INVALID
    And "drain target/nothing" exits with INVALID
    And "drain nonsense" exits with USAGE
    And "frobnicate" exits with USAGE
    And "status --output nonsense" exits with USAGE
    And "apply -f /nonexistent/file.yaml" exits with INVALID
    And "status --token wrong" exits with UNAUTHENTICATED
    And "status --address 127.0.0.1:1" exits with UNAVAILABLE
    When the declaration gets another rate
    Then "apply -f FILE --revision 1" exits with CONFLICT
    When the declaration loses its zones
    Then "plan -f FILE" exits with INVALID
    And "apply -f FILE" exits with INVALID
    And the process "ctl drain target/nothing" exits with code 3
