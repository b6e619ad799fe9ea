Feature: A daemon refuses settings that it cannot use
  All invalid settings must be reported in one run, not one in each run.

  Scenario: Bad settings
    When a daemon is started with a wrong port, a wrong address and without a peer secret
    Then it exits with code 2
    And its error output names "--caller-port", "--table-url" and "HEATHERCOURSE_PEER_SECRET"
