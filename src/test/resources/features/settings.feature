Feature: A daemon refuses settings that it cannot use
  An operator must learn of all wrong settings at once, not one after the other.

  Scenario: Bad settings
    When a daemon is started with a wrong port, a wrong address and without a peer secret
    Then it exits with code 2
    And its error output names "--caller-port", "--table-url" and "HEATHERCOURSE_PEER_SECRET"
