Feature: Garbage on a port does no harm
  Bytes of no valid protocol must neither crash a daemon nor affect other callers.

  Scenario Outline: Garbage on the <port> port
    Given a running deployment
    When 40 connections send garbage to the <port> port
    Then the daemon still runs and serves callers, peers and operators

    Examples:
      | port     |
      | caller   |
      | peer     |
      | operator |
