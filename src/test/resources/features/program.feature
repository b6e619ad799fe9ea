Feature: A caller runs a program from its start to its end
  A caller must receive complete answers to its own requests, and an order must take effect exactly
  once.

  Scenario: Start, stream an answer, place an order, end
    Given a running deployment
    When a program is started
    And the caller streams a model call of 25 words in it
    Then the stream has 25 words and ends with its last event
    When the caller places an order in it
    And the same order is sent again
    Then both answers are the same and the order took effect once
    When the program is ended
    Then a further model call in it is refused with status 410 and kind "program_ended"
